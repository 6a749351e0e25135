package org.tarragonarch.entry.body;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/** Splits JSON texts into values and joins values without changing their bytes. */
public final class JsonSlices {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonSlices() {}

    /**
     * Returns the bytes of the parser's current value and advances the parser to the end of the value.
     *
     * @param parser a parser over the text
     * @param text the text, encoded in UTF-8
     * @throws IOException if the value is not valid JSON or the text is not encoded in UTF-8
     */
    public static byte[] currentValue(JsonParser parser, byte[] text) throws IOException {
        long start = parser.currentTokenLocation().getByteOffset();
        if (start < 0) {
            throw new IOException("the text is not encoded in UTF-8");
        }
        if (parser.currentToken().isStructStart()) {
            parser.skipChildren();
        } else {
            parser.finishToken();
        }
        return Arrays.copyOfRange(
                text, (int) start, (int) parser.currentLocation().getByteOffset());
    }

    /** Returns a JSON array of the values. */
    public static byte[] join(ImmutableList<byte[]> values) {
        ByteArrayOutputStream array = new ByteArrayOutputStream();
        array.write('[');
        for (int i = 0; i < values.size(); i++) {
            if (i > 0) {
                array.write(',');
            }
            array.writeBytes(values.get(i));
        }
        array.write(']');
        return array.toByteArray();
    }

    /**
     * Returns the values of a JSON array.
     *
     * @throws IOException if the text is not a JSON array
     */
    public static ImmutableList<byte[]> split(byte[] array) throws IOException {
        try (JsonParser parser = FACTORY.createParser(array)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                throw new IOException("the text is not a JSON array");
            }
            ImmutableList.Builder<byte[]> values = ImmutableList.builder();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                if (parser.currentToken() == null) {
                    throw new IOException("the array is not closed");
                }
                values.add(currentValue(parser, array));
            }
            return values.build();
        }
    }
}
