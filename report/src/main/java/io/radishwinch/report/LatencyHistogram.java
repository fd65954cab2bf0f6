package io.radishwinch.report;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Histogram of times with two significant digits, from 0.1 ms to 24 h.
 *
 * <p>It starts small and grows with the largest time, since a summary holds two histograms for each caller and rank: a
 * typical one takes 2 to 5 KB. The packed form of HdrHistogram is smaller, but merging it took 0.5 ms a histogram.
 */
public final class LatencyHistogram {
    private static final double UNITS_PER_MS = 10;
    private static final long MAX_UNITS = (long) (24 * 3600 * 1000L * UNITS_PER_MS);
    private static final int SIGNIFICANT_DIGITS = 2;

    private final IntCountsHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);

    /** Adds one time, in ms; negative times are ignored. */
    void recordMs(double valueMs) {
        if (valueMs >= 0) {
            histogram.recordValue(Math.min(MAX_UNITS, Math.round(valueMs * UNITS_PER_MS)));
        }
    }

    /** Adds all times of another histogram. */
    void add(LatencyHistogram other) {
        if (other.count() > 0) {
            histogram.add(other.histogram);
        }
    }

    /** Returns the number of times. */
    public long count() {
        return histogram.getTotalCount();
    }

    /** Returns the time that the given share of all times does not exceed, in ms, or 0 without times. */
    public double percentileMs(double percentile) {
        return count() == 0 ? 0 : histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
    }

    /** Returns the share of times at or below the limit, from 0 to 1; 1 without times. */
    public double shareAtOrBelow(double limitMs) {
        return count() == 0 ? 1 : histogram.getPercentileAtOrBelowValue(Math.round(limitMs * UNITS_PER_MS)) / 100;
    }

    /** Returns the compressed form of HdrHistogram. */
    byte[] toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Arrays.copyOf(buffer.array(), length);
    }

    /**
     * Reads the compressed form.
     *
     * @throws IllegalArgumentException if the bytes are no histogram of this kind
     */
    static LatencyHistogram fromBytes(byte[] bytes) {
        try {
            IntCountsHistogram decoded = IntCountsHistogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 2);
            if (decoded.getNumberOfSignificantValueDigits() != SIGNIFICANT_DIGITS
                    || decoded.getMaxValue() > 2 * MAX_UNITS) {
                throw new IllegalArgumentException("the histogram has another precision or range");
            }
            LatencyHistogram result = new LatencyHistogram();
            result.histogram.add(decoded);
            return result;
        } catch (DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("not a compressed histogram: " + e.getMessage(), e);
        }
    }
}
