package io.radishwinch.report;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.PackedHistogram;

/**
 * Histogram of times with two significant digits, from 0.01 ms to 24 h.
 *
 * <p>The packed form of HdrHistogram keeps memory proportional to the number of different values, since a summary holds
 * two histograms for each caller and rank.
 */
public final class LatencyHistogram {
    private static final double UNITS_PER_MS = 100;
    private static final long MAX_UNITS = (long) (24 * 3600 * 1000L * UNITS_PER_MS);
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Histogram histogram;

    /** Creates an empty histogram. */
    public LatencyHistogram() {
        this(new PackedHistogram(MAX_UNITS, SIGNIFICANT_DIGITS));
    }

    private LatencyHistogram(Histogram histogram) {
        this.histogram = histogram;
    }

    /** Adds one time, in ms; negative times are ignored. */
    void recordMs(double valueMs) {
        if (valueMs >= 0) {
            histogram.recordValue(Math.min(MAX_UNITS, Math.round(valueMs * UNITS_PER_MS)));
        }
    }

    /** Adds all times of another histogram. */
    void add(LatencyHistogram other) {
        histogram.add(other.histogram);
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
            Histogram decoded = PackedHistogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), MAX_UNITS);
            if (decoded.getNumberOfSignificantValueDigits() != SIGNIFICANT_DIGITS
                    || decoded.getHighestTrackableValue() > 2 * MAX_UNITS) {
                throw new IllegalArgumentException("the histogram has another precision or range");
            }
            return new LatencyHistogram(decoded);
        } catch (DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("not a compressed histogram: " + e.getMessage(), e);
        }
    }
}
