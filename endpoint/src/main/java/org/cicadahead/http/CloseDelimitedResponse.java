package org.cicadahead.http;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Locale;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Recognises HTTP responses that end with their connection and whose body was cut off. The protocol cannot tell the
 * close of a connection after the last byte of such a response from one before it, but the syntax of a JSON body can.
 * Stateless and thread-safe.
 */
public final class CloseDelimitedResponse {

    private CloseDelimitedResponse() {}

    /**
     * Returns whether a response that the HTTP client regards as complete lacks the end of its body.
     *
     * @param response the response
     * @param body the body that was received
     * @return true if the response has neither a length nor chunks, is declared as JSON, and its body is not one whole
     *     JSON value; false if the body is whole or if nothing shows that it isn't
     */
    public static boolean isCutOff(Response response, byte[] body) {
        return isJson(response.getHeaders()) && isCutOffJson(response, body);
    }

    /**
     * Returns whether a response that must be JSON, whatever its media type is, lacks the end of its body.
     *
     * @param response the response
     * @param body the body that was received
     * @return true if the response has neither a length nor chunks, and its body is not one whole JSON value
     */
    public static boolean isCutOffJson(Response response, byte[] body) {
        return endsWithConnection(response) && !isWholeJson(body);
    }

    /** Returns whether bytes are exactly one JSON value, which no bytes are not. */
    private static boolean isWholeJson(byte[] body) {
        try (JsonParser parser = Codec.json().getFactory().createParser(body)) {
            JsonToken first = parser.nextToken();
            parser.skipChildren();
            return first != null && parser.nextToken() == null;
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean endsWithConnection(Response response) {
        HttpFields headers = response.getHeaders();
        int status = response.getStatus();
        boolean hasBody = status != HttpStatus.NO_CONTENT_204
                && status != HttpStatus.NOT_MODIFIED_304
                && !HttpMethod.HEAD.is(response.getRequest().getMethod());
        return hasBody
                && !headers.contains(HttpHeader.CONTENT_LENGTH)
                && !headers.contains(HttpHeader.TRANSFER_ENCODING);
    }

    private static boolean isJson(HttpFields headers) {
        String type = headers.get(HttpHeader.CONTENT_TYPE);
        if (type == null) {
            return false;
        }
        String mediaType = type.split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
        return mediaType.equals("application/json") || mediaType.endsWith("+json");
    }
}
