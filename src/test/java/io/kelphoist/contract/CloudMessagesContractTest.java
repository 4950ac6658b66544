package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.CloudInstance.InstanceState;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.wire.CloudCodec;
import io.kelphoist.wire.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * The encoding of requests to the cloud and of its responses. Guards against a change after which
 * the cloud rejects requests or its responses can't be decoded.
 */
class CloudMessagesContractTest {
    private static final List<MachineType> TYPES =
            List.of(
                    new MachineType(
                            "g8",
                            new Resources(/* cpus= */ 96, /* gpus= */ 8, /* memoryGb= */ 768),
                            /* cacheGb= */ 200,
                            /* fetchGbPerSecond= */ 1.0,
                            /* price= */ 12.0,
                            /* spotPrice= */ 4.5,
                            /* bootSeconds= */ 45,
                            List.of("a", "b")),
                    new MachineType(
                            "c4",
                            new Resources(/* cpus= */ 4, /* gpus= */ 0, /* memoryGb= */ 16),
                            /* cacheGb= */ 50,
                            /* fetchGbPerSecond= */ 0.5,
                            /* price= */ 0.2,
                            /* spotPrice= */ 0.07,
                            /* bootSeconds= */ 30,
                            List.of()));

    @Nested
    class MachineTypes {
        @Test
        void machineTypesAreDecodedAndEncodedAgain() throws MalformedMessageException {
            // The encoding stays the same.
            GoldenFiles.assertCborMessage(
                    "cloud/machine-types", CloudCodec.encodeMachineTypes(TYPES));
            // when
            List<MachineType> decoded =
                    CloudCodec.decodeMachineTypes(
                            GoldenFiles.storedCborMessage("cloud/machine-types"));
            // then
            assertEquals(TYPES, decoded);
            GoldenFiles.assertCborMessage(
                    "cloud/machine-types", CloudCodec.encodeMachineTypes(decoded));
        }

        @Test
        void missingSpotPriceDefaultsToTheOnDemandPrice() throws MalformedMessageException {
            // given
            ObjectNode message =
                    GoldenFiles.receivedCborMessage("cloud/machine-types-without-spot-price");
            // when
            List<MachineType> decoded = CloudCodec.decodeMachineTypes(message);
            // then
            assertEquals(
                    List.of(
                            new MachineType(
                                    "c4",
                                    new Resources(/* cpus= */ 4, /* gpus= */ 0, /* memoryGb= */ 16),
                                    /* cacheGb= */ 50,
                                    /* fetchGbPerSecond= */ 0.5,
                                    /* price= */ 0.2,
                                    /* spotPrice= */ 0.2,
                                    /* bootSeconds= */ 30,
                                    List.of())),
                    decoded);
        }
    }

    @Nested
    class ScaleOutAndScaleIn {
        @Test
        void scaleOutOfSpotInstancesIsEncoded() {
            GoldenFiles.assertCborMessage(
                    "cloud/rental-spot",
                    CloudCodec.encodeScaleOutRequest(
                            new ScaleOutRequest(
                                    "r-41-17",
                                    "g8",
                                    "a",
                                    /* spot= */ true,
                                    /* machineCount= */ 12)));
        }

        @Test
        void scaleOutOfOnDemandInstancesIsEncoded() {
            GoldenFiles.assertCborMessage(
                    "cloud/rental-ordinary",
                    CloudCodec.encodeScaleOutRequest(
                            new ScaleOutRequest(
                                    "r-41-18",
                                    "c4",
                                    "b",
                                    /* spot= */ false,
                                    /* machineCount= */ 1)));
        }

        @Test
        void namesOfStartedInstancesAreDecoded() throws MalformedMessageException {
            assertEquals(
                    List.of("vm-000231", "vm-000232"),
                    CloudCodec.decodeInstanceNames(
                            GoldenFiles.receivedCborMessage("cloud/rented")));
        }

        @Test
        void namesOfInstancesToTerminateAreEncoded() {
            GoldenFiles.assertCborMessage(
                    "cloud/return",
                    CloudCodec.encodeInstanceNames(List.of("vm-000231", "vm-000232")));
        }
    }

    @Nested
    class InstanceList {
        @Test
        void instancesInEveryStateAreDecoded() throws MalformedMessageException {
            // given
            ObjectNode message = GoldenFiles.receivedCborMessage("cloud/machine-list");
            // when
            List<CloudInstance> instances = CloudCodec.decodeInstances(message);
            // then
            assertEquals(
                    List.of(
                            new CloudInstance(
                                    "vm-000231",
                                    "10.1.0.232:9000",
                                    "g8",
                                    "a",
                                    /* spot= */ true,
                                    InstanceState.RUNNING,
                                    /* ageSeconds= */ 61.5),
                            new CloudInstance(
                                    "vm-000232",
                                    /* address= */ null,
                                    "g8",
                                    "b",
                                    /* spot= */ false,
                                    InstanceState.BOOTING,
                                    /* ageSeconds= */ 1),
                            new CloudInstance(
                                    "vm-000233",
                                    /* address= */ null,
                                    "c4",
                                    "b",
                                    /* spot= */ false,
                                    InstanceState.FAILED,
                                    /* ageSeconds= */ 0)),
                    instances);
            assertTrue(CloudCodec.decodeHasNextPage(message));
        }

        @Test
        void lastPageHasNoNextPage() throws MalformedMessageException {
            ObjectNode message = GoldenFiles.receivedCborMessage("cloud/machine-list-last-page");
            assertEquals(List.of(), CloudCodec.decodeInstances(message));
            assertFalse(CloudCodec.decodeHasNextPage(message));
        }
    }
}
