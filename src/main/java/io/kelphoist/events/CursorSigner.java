package io.kelphoist.events;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes cursors as small opaque byte strings with a message authentication code (MAC), and
 * decodes them, rejecting cursors that were damaged or forged. The first key signs and all keys
 * verify, so that keys can be rotated while cursors are in use.
 *
 * <p>Layout: version (1 byte), key id (1), filter fingerprint (8), start revision (8), position's
 * revision (8), position's job id (modified UTF-8 with its length), truncated MAC (16).
 */
public final class CursorSigner {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 2;
    private static final int MAC_BYTES = 16;
    private static final int MAX_CURSOR_BYTES = 256;
    private static final int INITIAL_BUFFER_BYTES = 80;

    /**
     * A secret key and the id by which cursors refer to it. Only the lowest 8 bits of the id are
     * used. An array component is safe here, as keys are never compared and the array is never
     * changed.
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Key(int id, byte[] secret) {}

    /** Thrown if a cursor is rejected; the message is sent to the client as the reason. */
    public static final class InvalidCursorException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidCursorException(String message) {
            super(message);
        }

        private static InvalidCursorException damaged() {
            return new InvalidCursorException("the cursor is damaged");
        }
    }

    private final List<Key> keys;

    /**
     * Creates a signer.
     *
     * @param keys the first key signs, all keys verify
     * @throws IllegalArgumentException if the list is empty
     */
    public CursorSigner(List<Key> keys) {
        if (keys.isEmpty()) {
            throw new IllegalArgumentException(
                    "keys is empty, expected at least one key to sign cursors with");
        }
        this.keys = List.copyOf(keys);
    }

    /** Encodes and signs a cursor. */
    public byte[] encode(Cursor cursor) {
        Key key = keys.get(0);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeByte(key.id());
            out.writeLong(cursor.filterFingerprint());
            out.writeLong(cursor.startRevision());
            out.writeLong(cursor.position().revision());
            out.writeUTF(cursor.position().jobId());
            out.write(computeMac(key, bytes.toByteArray()));
        } catch (IOException e) {
            throw new IllegalStateException("can't encode the cursor: " + cursor, e);
        }
        return bytes.toByteArray();
    }

    /**
     * Verifies and decodes a cursor.
     *
     * @param filter the filter of the client's current request; the cursor must have been issued
     *     for the same filter
     * @throws InvalidCursorException if the cursor is of another version, was not signed with one
     *     of the keys, was altered, or was issued for another filter
     */
    public Cursor decode(byte[] encoded, SubscriptionFilter filter) throws InvalidCursorException {
        Cursor cursor = decodePayload(verify(encoded));
        if (cursor.filterFingerprint() != filter.fingerprint()) {
            throw new InvalidCursorException("the cursor belongs to another subscription");
        }
        return cursor;
    }

    /** Checks the version, the key id and the MAC; returns the bytes that the MAC covers. */
    private byte[] verify(byte[] encoded) throws InvalidCursorException {
        if (encoded.length <= MAC_BYTES + HEADER_BYTES || encoded.length > MAX_CURSOR_BYTES) {
            throw InvalidCursorException.damaged();
        }
        if (encoded[0] != VERSION) {
            throw new InvalidCursorException("the cursor is of another version");
        }
        Key key = findKey(encoded[1]);
        byte[] payload = Arrays.copyOf(encoded, encoded.length - MAC_BYTES);
        byte[] mac = Arrays.copyOfRange(encoded, payload.length, encoded.length);
        if (!MessageDigest.isEqual(computeMac(key, payload), mac)) {
            throw InvalidCursorException.damaged();
        }
        return payload;
    }

    private Key findKey(byte id) throws InvalidCursorException {
        for (Key key : keys) {
            if ((byte) key.id() == id) {
                return key;
            }
        }
        throw new InvalidCursorException("the cursor's key is not valid any more");
    }

    private static Cursor decodePayload(byte[] payload) throws InvalidCursorException {
        int length = payload.length - HEADER_BYTES;
        try (DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(payload, HEADER_BYTES, length))) {
            return new Cursor(
                    in.readLong(), in.readLong(), new LogPosition(in.readLong(), in.readUTF()));
        } catch (IOException e) {
            throw InvalidCursorException.damaged();
        }
    }

    private static byte[] computeMac(Key key, byte[] payload) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
            return Arrays.copyOf(mac.doFinal(payload), MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "can't compute " + ALGORITHM + " with the cursor key " + key.id(), e);
        }
    }
}
