package org.tarragonarch.entry.cluster;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.share.ShareSettings;

/** Reads the value of {@code shares} in a node's settings: a list with one object for each priority. */
final class ShareSettingsReader {
    private static final double NO_GUARANTEE = 0;
    private static final double NO_CEILING = 1;

    private ShareSettingsReader() {}

    /**
     * Reads the list that starts at the parser's current token.
     *
     * @throws IOException if the list is malformed or an entry is invalid; the message names the entry
     */
    static SharePlan read(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw new IOException("'shares' is not a list");
        }
        List<ShareSettings> shares = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String entry = "shares[" + shares.size() + "]";
            try {
                shares.add(share(parser, entry));
                SharePlan.of(shares);
            } catch (IllegalArgumentException e) {
                throw new IOException(entry + ": " + e.getMessage(), e);
            }
        }
        return SharePlan.of(shares);
    }

    private static ShareSettings share(JsonParser parser, String entry) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException(entry + ": not an object");
        }
        Integer priority = null;
        Double weight = null;
        double guaranteed = NO_GUARANTEE;
        double ceiling = NO_CEILING;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            switch (key) {
                case "priority" -> priority = parser.getIntValue();
                case "weight" -> weight = parser.getDoubleValue();
                case "guaranteed" -> guaranteed = parser.getDoubleValue();
                case "ceiling" -> ceiling = parser.getDoubleValue();
                default -> throw new IOException(entry + ": unknown key '" + key + "'");
            }
        }
        if (priority == null || weight == null) {
            throw new IOException(entry + ": 'priority' or 'weight' is missing");
        }
        return new ShareSettings(priority, weight, guaranteed, ceiling);
    }
}
