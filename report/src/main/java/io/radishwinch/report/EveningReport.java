package io.radishwinch.report;

import io.radishwinch.core.model.Contract;
import java.util.Collection;

/** Reports on one day for the owner of the service, as an HTML page or as text. */
public final class EveningReport {
    private final String deployment;
    private final DayEvaluation evaluation;

    private EveningReport(String deployment, DayEvaluation evaluation) {
        this.deployment = deployment;
        this.evaluation = evaluation;
    }

    /**
     * Evaluates a day against the contracts and {@link ReportTargets#defaults()}.
     *
     * @param deployment name of the deployment, used as the heading
     * @param summary merged summaries of all routers
     * @param contracts contracts in effect
     * @param nowMs time of the report, in ms since the epoch
     */
    public static EveningReport of(String deployment, DaySummary summary, Collection<Contract> contracts, long nowMs) {
        return new EveningReport(deployment, new DayEvaluation(summary, contracts, ReportTargets.defaults(), nowMs));
    }

    /** Returns whether every promise was kept and no charge ran twice; false without data. */
    public boolean wentWell() {
        DayEvaluation.Rating rating = evaluation.rating();
        return rating == DayEvaluation.Rating.GOOD || rating == DayEvaluation.Rating.GOOD_WITH_NOTES;
    }

    /** Returns the verdict in one sentence. */
    public String verdict() {
        return evaluation.verdictSentence();
    }

    /** Returns an HTML page that references no external resources. */
    public String html() {
        return new HtmlReport(deployment, evaluation).render();
    }

    /** Returns text for a terminal, wrapped at 100 columns; long names can exceed this width. */
    public String text() {
        return new TextReport(deployment, evaluation).render();
    }
}
