package io.radishwinch.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;

/**
 * Checks a response head against the grammar of RFC 9112, as the bytes of the endpoint and before they are decoded; see
 * docs/decisions/0020-strict-http.md. Lines are checked when they are complete, each once.
 */
final class ResponseHeadValidator {
    private static final byte[] VERSION = ascii("HTTP/1.");
    private static final byte[] CONTENT_LENGTH = ascii("content-length");
    private static final byte[] TRANSFER_ENCODING = ascii("transfer-encoding");
    private static final byte[] CHUNKED = ascii("chunked");
    private static final int STATUS_OFFSET = VERSION.length + 2;
    private static final int REASON_OFFSET = STATUS_OFFSET + 3;
    private static final int LOWEST_STATUS = 100;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int HIGHEST_STATUS = 599;

    /** Bounds a length to what fits a {@code long}. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final int MAX_QUOTED_BYTES = 60;
    private static final BitSet NAME_CHARACTERS = new BitSet();

    static {
        "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                .chars()
                .forEach(NAME_CHARACTERS::set);
    }

    private final int maxHeadBytes;
    private ByteBuf buffer;
    private int checkedBytes;
    private int searchedBytes;
    private Line lastLine = Line.NONE;
    private boolean isHttp10;
    private boolean hasLength;
    private boolean isChunked;
    private boolean isEnded;

    /** What the last line is, which a folded line continues. */
    private enum Line {
        NONE,
        STATUS,
        FRAMING_HEADER,
        HEADER
    }

    ResponseHeadValidator(int maxHeadBytes) {
        this.maxHeadBytes = maxHeadBytes;
    }

    /**
     * Checks the lines of a head that have arrived. If the head is complete, the next call starts with another one.
     *
     * @param received bytes from the beginning of the head, which are not consumed
     * @return whether the head is complete
     * @throws MalformedResponseException if the head breaks a rule
     */
    boolean isComplete(ByteBuf received) {
        buffer = received;
        if (isEnded) {
            reset();
        }
        int start = received.readerIndex();
        while (true) {
            int lineEnd = received.indexOf(start + searchedBytes, received.writerIndex(), (byte) '\n');
            searchedBytes = lineEnd < 0 ? received.readableBytes() : lineEnd + 1 - start;
            if (searchedBytes > maxHeadBytes) {
                throw new MalformedResponseException(
                        ResponseRule.SIZE, "head exceeds " + maxHeadBytes + " bytes", null);
            }
            if (lineEnd < 0) {
                return false;
            }
            boolean isLast = checkLine(start + checkedBytes, lineEnd);
            checkedBytes = searchedBytes;
            if (isLast) {
                isEnded = true;
                return true;
            }
        }
    }

    private void reset() {
        checkedBytes = 0;
        searchedBytes = 0;
        lastLine = Line.NONE;
        isHttp10 = false;
        hasLength = false;
        isChunked = false;
        isEnded = false;
    }

    /** Returns whether the last complete head states that its body consists of chunks. */
    boolean isChunked() {
        return isChunked;
    }

    /** Checks a line up to its line feed. Returns whether it ends the head. */
    private boolean checkLine(int start, int lineFeed) {
        int end = lineFeed - 1;
        if (end < start || at(end) != '\r') {
            throw violation(ResponseRule.LINE_END, start, lineFeed);
        }
        if (start == end) {
            // Empty lines may precede the status line.
            return lastLine != Line.NONE;
        }
        if (lastLine == Line.NONE) {
            checkStatusLine(start, end);
        } else if (at(start) == ' ' || at(start) == '\t') {
            checkFoldedLine(start, end);
        } else {
            checkHeader(start, end);
        }
        return false;
    }

    private void checkStatusLine(int start, int end) {
        if (end - start < REASON_OFFSET - 1
                || !matches(VERSION, start)
                || !isDigit(at(start + VERSION.length))
                || at(start + STATUS_OFFSET - 1) != ' ') {
            throw violation(ResponseRule.STATUS_LINE, start, end);
        }
        int status = 0;
        for (int i = start + STATUS_OFFSET; i < start + REASON_OFFSET; i++) {
            if (i == end || !isDigit(at(i))) {
                throw violation(ResponseRule.STATUS, start, end);
            }
            status = status * 10 + at(i) - '0';
        }
        int reason = start + REASON_OFFSET;
        if (status < LOWEST_STATUS || status > HIGHEST_STATUS || reason < end && isDigit(at(reason))) {
            throw violation(ResponseRule.STATUS, start, end);
        }
        if (reason < end && at(reason) != ' ') {
            throw violation(ResponseRule.STATUS_LINE, start, end);
        }
        if (status == SWITCHING_PROTOCOLS) {
            throw violation(ResponseRule.UPGRADE, start, end);
        }
        checkText(reason, start, end);
        isHttp10 = at(start + VERSION.length) == '0';
        lastLine = Line.STATUS;
    }

    private void checkFoldedLine(int start, int end) {
        if (lastLine == Line.STATUS) {
            throw violation(ResponseRule.HEADER_LINE, start, end);
        }
        if (lastLine == Line.FRAMING_HEADER) {
            throw violation(isChunked ? ResponseRule.TRANSFER_ENCODING : ResponseRule.CONTENT_LENGTH, start, end);
        }
        checkText(start, start, end);
    }

    private void checkHeader(int start, int end) {
        int nameEnd = start;
        while (nameEnd < end && isNameCharacter(at(nameEnd) & 0xff)) {
            nameEnd++;
        }
        int colon = skipBlanks(nameEnd, end);
        if (nameEnd == start || colon == end || at(colon) != ':') {
            throw violation(ResponseRule.HEADER_LINE, start, end);
        }
        checkText(colon + 1, start, end);
        int valueStart = skipBlanks(colon + 1, end);
        int valueEnd = end;
        while (valueEnd > valueStart && (at(valueEnd - 1) == ' ' || at(valueEnd - 1) == '\t')) {
            valueEnd--;
        }
        lastLine = Line.HEADER;
        if (equals(CONTENT_LENGTH, start, nameEnd)) {
            if (hasLength || !isLength(valueStart, valueEnd)) {
                throw violation(ResponseRule.CONTENT_LENGTH, start, end);
            }
            hasLength = true;
            lastLine = Line.FRAMING_HEADER;
        } else if (equals(TRANSFER_ENCODING, start, nameEnd)) {
            if (isChunked || isHttp10 || !equals(CHUNKED, valueStart, valueEnd)) {
                throw violation(ResponseRule.TRANSFER_ENCODING, start, end);
            }
            isChunked = true;
            lastLine = Line.FRAMING_HEADER;
        }
        if (hasLength && isChunked) {
            throw violation(ResponseRule.TRANSFER_ENCODING, start, end);
        }
    }

    private boolean isLength(int start, int end) {
        for (int i = start; i < end; i++) {
            if (!isDigit(at(i))) {
                return false;
            }
        }
        return start < end && end - start <= MAX_LENGTH_DIGITS;
    }

    /** Checks the reason phrase or the value of a line. */
    private void checkText(int textStart, int start, int end) {
        for (int i = textStart; i < end; i++) {
            int character = at(i) & 0xff;
            if (isControlCharacter(character)) {
                throw violation(ResponseRule.CONTROL_CHARACTER, start, end);
            }
            if (character == 'H' && isStatusLine(i, end)) {
                throw violation(ResponseRule.SECOND_HEAD, start, end);
            }
        }
    }

    /** Returns whether a character may be part of the name of a header. */
    static boolean isNameCharacter(int character) {
        return NAME_CHARACTERS.get(character);
    }

    /** Returns whether a character may not be part of a value or a reason phrase. */
    static boolean isControlCharacter(int character) {
        return character < ' ' && character != '\t' || character == 0x7f;
    }

    private boolean isStatusLine(int start, int end) {
        if (end - start < REASON_OFFSET || !matches(VERSION, start)) {
            return false;
        }
        byte minor = at(start + VERSION.length);
        boolean isPrefix = (minor == '0' || minor == '1') && at(start + STATUS_OFFSET - 1) == ' ';
        for (int i = start + STATUS_OFFSET; isPrefix && i < start + REASON_OFFSET; i++) {
            isPrefix = isDigit(at(i));
        }
        return isPrefix;
    }

    private int skipBlanks(int start, int end) {
        int next = start;
        while (next < end && (at(next) == ' ' || at(next) == '\t')) {
            next++;
        }
        return next;
    }

    private byte at(int index) {
        return buffer.getByte(index);
    }

    private boolean matches(byte[] expected, int start) {
        for (int i = 0; i < expected.length; i++) {
            if (at(start + i) != expected[i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the bytes are equal to a lower-case text, apart from the case of ASCII letters. */
    private boolean equals(byte[] lowerCase, int start, int end) {
        if (end - start != lowerCase.length) {
            return false;
        }
        for (int i = 0; i < lowerCase.length; i++) {
            byte actual = at(start + i);
            if ((actual >= 'A' && actual <= 'Z' ? actual + ('a' - 'A') : actual) != lowerCase[i]) {
                return false;
            }
        }
        return true;
    }

    private static boolean isDigit(byte character) {
        return character >= '0' && character <= '9';
    }

    private MalformedResponseException violation(ResponseRule rule, int start, int end) {
        int length = Math.min(end - start, MAX_QUOTED_BYTES);
        String line = buffer.toString(start, length, StandardCharsets.ISO_8859_1);
        StringBuilder quoted = new StringBuilder(line.length() + 2);
        line.chars().forEach(character -> quoted.append(character < ' ' || character > '~' ? '?' : (char) character));
        return new MalformedResponseException(rule, "\"" + quoted + "\"", null);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
