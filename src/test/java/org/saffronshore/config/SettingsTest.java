package org.saffronshore.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.Samples;
import org.saffronshore.wire.InvalidField;
import org.saffronshore.wire.Json;

class SettingsTest {

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "/ | node | 3 | node", "/ | serve_on | \"nowhere\" | serve_on", "/ | peers | {} | peers",
        "/services | state | \"1.2.3.4:x\" | services.state", "/cluster/workers | lease_s | -1 | cluster.workers.lease_s",
        "/cluster/state | txn_ops | 1.5 | cluster.state.txn_ops", "/cluster | cloud | null | cluster.cloud",
        "/cluster | teams | [{\"name\":\"x\"},{\"name\":\"x\"}] | cluster.teams[1].name"})
    void namesTheFieldThatIsWrong(String at, String field, String value, String named) {
        ObjectNode root = Samples.settingsJson();
        ObjectNode object = at.equals("/") ? root : (ObjectNode) root.at(at);
        object.set(field, Json.parse(value.getBytes()));
        assertEquals(named, assertThrows(InvalidField.class, () -> Settings.parse(root)).field());
    }

    @Test
    void ignoresUnknownFieldsAndTakesNullables() throws InvalidField {
        ObjectNode root = Samples.settingsJson();
        root.putNull("area");
        ((ObjectNode) root.at("/cluster")).remove("objectives");
        Settings settings = Settings.parse(root);
        assertEquals(3, settings.controllers());
        assertTrue(settings.objectives().isEmpty());
    }
}
