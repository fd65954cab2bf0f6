package io.radishwinch.report;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Histogram of durations with two significant digits, from 0.1 ms to 24 h.
 *
 * <p>The histogram resizes itself with the largest value, because a summary holds two histograms for each caller and
 * rank. A typical histogram takes 2 to 5 KB. The packed histogram of HdrHistogram is smaller, but merging one takes 0.5
 * ms.
 */
public final class LatencyHistogram {
    private static final double UNITS_PER_MS = 10;
    private static final long MAX_UNITS = (long) (24 * 3600 * 1000L * UNITS_PER_MS);
    private static final int SIGNIFICANT_DIGITS = 2;

    private final IntCountsHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);

    /** Adds one value, in ms; negative values are ignored. */
    void recordMs(double valueMs) {
        if (valueMs >= 0) {
            histogram.recordValue(Math.min(MAX_UNITS, Math.round(valueMs * UNITS_PER_MS)));
        }
    }

    /** Adds all values of another histogram. */
    void add(LatencyHistogram other) {
        if (other.count() > 0) {
            histogram.add(other.histogram);
        }
    }

    /** Returns the number of values. */
    public long count() {
        return histogram.getTotalCount();
    }

    /**
     * Returns a percentile, in ms, or 0 if the histogram is empty.
     *
     * @param percentile percentile, from 0 to 100
     */
    public double percentileMs(double percentile) {
        return count() == 0 ? 0 : histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
    }

    /** Returns the share of values at or below the limit in ms, from 0 to 1; 1 if the histogram is empty. */
    public double shareAtOrBelow(double limitMs) {
        return count() == 0 ? 1 : histogram.getPercentileAtOrBelowValue(Math.round(limitMs * UNITS_PER_MS)) / 100;
    }

    /** Returns the histogram in HdrHistogram's compressed encoding. */
    byte[] toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Arrays.copyOf(buffer.array(), length);
    }

    /**
     * Decodes a histogram from HdrHistogram's compressed encoding.
     *
     * @throws IllegalArgumentException if the bytes cannot be decoded, or have another precision or range
     */
    static LatencyHistogram fromBytes(byte[] bytes) {
        try {
            IntCountsHistogram decoded = IntCountsHistogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 2);
            if (decoded.getNumberOfSignificantValueDigits() != SIGNIFICANT_DIGITS
                    || decoded.getMaxValue() > 2 * MAX_UNITS) {
                throw new IllegalArgumentException("the precision or the range of the histogram does not match");
            }
            LatencyHistogram result = new LatencyHistogram();
            result.histogram.add(decoded);
            return result;
        } catch (DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("cannot decode the histogram: " + e.getMessage(), e);
        }
    }
}
