package io.radishwinch.report;

import io.radishwinch.core.model.Contract;
import java.util.Collection;

/** Report on one day for the owner of the service, as a page or as text. */
public final class EveningReport {
    private final String deployment;
    private final DayEvaluation evaluation;

    private EveningReport(String deployment, DayEvaluation evaluation) {
        this.deployment = deployment;
        this.evaluation = evaluation;
    }

    /**
     * Judges a day against the targets of the design.
     *
     * @param deployment name of the deployment for the heading
     * @param summary merged summaries of all routers
     * @param contracts contracts in effect
     * @param nowMs time of the report, in ms since the epoch
     */
    public static EveningReport of(String deployment, DaySummary summary, Collection<Contract> contracts, long nowMs) {
        return new EveningReport(deployment, new DayEvaluation(summary, contracts, ReportTargets.defaults(), nowMs));
    }

    /** Returns whether every promise was kept and no charge ran twice. */
    public boolean wentWell() {
        DayEvaluation.Rating rating = evaluation.rating();
        return rating == DayEvaluation.Rating.GOOD || rating == DayEvaluation.Rating.GOOD_WITH_NOTES;
    }

    /** Returns the verdict in one sentence. */
    public String verdict() {
        return evaluation.verdictSentence();
    }

    /** Returns one HTML file that refers to no other resource. */
    public String html() {
        return new HtmlReport(deployment, evaluation).render();
    }

    /** Returns text of at most 100 columns for a terminal; names may make a line longer. */
    public String text() {
        return new TextReport(deployment, evaluation).render();
    }
}
