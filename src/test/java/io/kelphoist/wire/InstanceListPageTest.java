package io.kelphoist.wire;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/**
 * Guards against a list of instances that counts as complete at a page without instances although
 * there are more: the machines on later pages would be taken for terminated.
 */
class InstanceListPageTest {
    private static final String AFTER = "vm-000230";

    @Test
    void anEmptyPageWithMoreToComeIsMalformed() {
        assertThrows(MalformedMessageException.class, () -> decodeIsLast(true));
    }

    @Test
    void anEmptyPageWithoutMoreIsTheLast() throws MalformedMessageException {
        assertTrue(decodeIsLast(false));
    }

    private static boolean decodeIsLast(boolean hasNext) throws MalformedMessageException {
        ObjectNode page = MessageEncoding.newObject().put("has_next", hasNext);
        page.putArray("buoys");
        return CloudCodec.decodeInstanceListPage(MessageEncoding.encodeCbor(page), AFTER)
                .lastPage();
    }
}
