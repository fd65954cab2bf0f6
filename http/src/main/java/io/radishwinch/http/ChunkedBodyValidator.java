package io.radishwinch.http;

import io.netty.buffer.ByteBuf;

/**
 * Checks the chunk sizes and the trailers of a body against RFC 9112, section 7.1, as the bytes of the endpoint and
 * before they are decoded. Netty's decoder truncates sizes to 32 bits and ignores what follows a blank.
 */
final class ChunkedBodyValidator {
    private static final int MAX_SIZE_DIGITS = 16;
    private static final int HEXADECIMAL = 16;

    private Part next = Part.SIZE;
    private int checkedBytes;
    private int sizeDigits;
    private long remainingBytes;

    /** What the next byte belongs to. */
    private enum Part {
        SIZE,
        PADDING,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_CR,
        DATA_END,
        TRAILER_START,
        TRAILER_NAME,
        TRAILER_VALUE,
        TRAILER_END,
        BODY_END,
        NOTHING
    }

    /** Starts with another body, of which no byte has arrived. */
    void start() {
        next = Part.SIZE;
        checkedBytes = 0;
        sizeDigits = 0;
        remainingBytes = 0;
    }

    /**
     * Checks the bytes that have arrived since the last call, up to the end of the body.
     *
     * @throws MalformedResponseException if they break a rule
     */
    void check(ByteBuf buffer) {
        int index = buffer.readerIndex() + checkedBytes;
        while (index < buffer.writerIndex() && next != Part.NOTHING) {
            if (next == Part.DATA) {
                int skipped = (int) Math.min(remainingBytes, buffer.writerIndex() - index);
                remainingBytes -= skipped;
                index += skipped;
                next = remainingBytes == 0 ? Part.DATA_CR : Part.DATA;
            } else {
                next = after(buffer.getByte(index++) & 0xff);
            }
        }
        checkedBytes = index - buffer.readerIndex();
    }

    /** Records that the decoder has consumed checked bytes. */
    void onConsumed(int bytes) {
        checkedBytes -= bytes;
    }

    /** Returns the part that follows a byte. */
    private Part after(int character) {
        return switch (next) {
            case SIZE -> afterSize(character);
            case PADDING -> isBlank(character) ? Part.PADDING : afterPadding(character);
            case EXTENSION -> character == '\r' ? Part.SIZE_END : text(character, Part.EXTENSION);
            case SIZE_END -> expect('\n', character, remainingBytes > 0 ? Part.DATA : Part.TRAILER_START);
            case DATA_CR -> expect('\r', character, Part.DATA_END);
            case DATA_END -> {
                sizeDigits = 0;
                yield expect('\n', character, Part.SIZE);
            }
            case TRAILER_START ->
                character == '\r' ? Part.BODY_END : nameCharacter(character, "trailer without a name");
            case TRAILER_NAME ->
                character == ':' ? Part.TRAILER_VALUE : nameCharacter(character, "trailer without a colon");
            case TRAILER_VALUE -> character == '\r' ? Part.TRAILER_END : text(character, Part.TRAILER_VALUE);
            case TRAILER_END -> expect('\n', character, Part.TRAILER_START);
            case BODY_END -> expect('\n', character, Part.NOTHING);
            case DATA, NOTHING -> throw new IllegalStateException("no byte expected in " + next);
        };
    }

    private Part afterSize(int character) {
        int digit = Character.digit(character, HEXADECIMAL);
        if (digit < 0) {
            if (sizeDigits == 0) {
                throw violation("chunk without a size");
            }
            return isBlank(character) ? Part.PADDING : afterPadding(character);
        }
        remainingBytes = remainingBytes * HEXADECIMAL + digit;
        if (++sizeDigits > MAX_SIZE_DIGITS || remainingBytes > Integer.MAX_VALUE) {
            throw violation("chunk size exceeds " + Integer.MAX_VALUE);
        }
        return Part.SIZE;
    }

    private static Part afterPadding(int character) {
        return switch (character) {
            case ';' -> Part.EXTENSION;
            case '\r' -> Part.SIZE_END;
            default -> throw violation("invalid character in a chunk size: " + character);
        };
    }

    private static Part nameCharacter(int character, String message) {
        if (!ResponseHeadValidator.isNameCharacter(character)) {
            throw violation(message);
        }
        return Part.TRAILER_NAME;
    }

    private static Part text(int character, Part part) {
        if (ResponseHeadValidator.isControlCharacter(character)) {
            throw violation("control character " + character + " beside chunks");
        }
        return part;
    }

    private static Part expect(char expected, int character, Part part) {
        if (character != expected) {
            throw violation("invalid end of a line or of a chunk: " + character);
        }
        return part;
    }

    private static boolean isBlank(int character) {
        return character == ' ' || character == '\t';
    }

    private static MalformedResponseException violation(String message) {
        return new MalformedResponseException(ResponseRule.BODY, message, null);
    }
}
