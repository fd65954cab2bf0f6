package io.radishwinch.bench;

import io.radishwinch.core.model.AcceleratorSpec;

/**
 * Times of the passes in which engines process their waiting work, and of the transfers between stages.
 *
 * <p>The times of a pass are those of the reference accelerator for all layers of the model. They scale with the share
 * of the layers that the pass runs.
 *
 * @param stepUs time of one token step, in us
 * @param perSequenceUs additional time of a step for each sequence that generates tokens, in us
 * @param perContextTokenUs additional time of a step for each token in the context of such a sequence, in us
 * @param promptTokensPerS rate at which prompts are processed, in tokens/s
 * @param perTokenPairUs additional time for each pair of a prompt token and an earlier token, in us
 * @param maxPromptTokensPerStep prompt tokens that one step can process
 * @param stepsPerPass token steps of a pass that generates tokens
 * @param activationBytes activations of one token that pass from one stage to the next, in bytes
 * @param linkBitsPerUs rate of the link of an engine, in bits/us
 * @param crossDataCentreBitsPerUs rate of the path between data centres, which all transfers share, in bits/us
 * @param crossDataCentreDelayUs delay of each token between data centres, in us
 */
record PassTimes(
        double stepUs,
        double perSequenceUs,
        double perContextTokenUs,
        double promptTokensPerS,
        double perTokenPairUs,
        int maxPromptTokensPerStep,
        int stepsPerPass,
        long activationBytes,
        double linkBitsPerUs,
        double crossDataCentreBitsPerUs,
        double crossDataCentreDelayUs) {

    /** Returns the time of the token steps of a pass without their sequences, in us. */
    double stepsUs(AcceleratorSpec accelerator, int steps, double layerShare) {
        return steps * stepUs * accelerator.relativeStepTime() * layerShare;
    }

    /** Returns the time that one sequence adds to the token steps of a pass, in us. */
    double sequenceUs(AcceleratorSpec accelerator, int contextTokens, double layerShare) {
        double perStepUs = perSequenceUs + contextTokens * perContextTokenUs;
        return stepsPerPass * perStepUs * accelerator.relativeStepTime() * layerShare;
    }

    /** Returns the time to process prompt tokens that follow the given number of earlier tokens, in us. */
    double promptUs(AcceleratorSpec accelerator, int tokens, int earlierTokens, double layerShare) {
        double pairs = tokens * (earlierTokens + tokens / 2.0);
        double referenceUs = tokens * 1e6 / promptTokensPerS + pairs * perTokenPairUs;
        return referenceUs * accelerator.relativePromptTime() * layerShare;
    }

    /** Returns the time to send the activations of the given number of tokens over a link, in us. */
    double linkTransferUs(int tokens) {
        return tokens * activationBytes * 8 / linkBitsPerUs;
    }

    /** Returns the time for which the activations of the given number of tokens occupy the shared path, in us. */
    double crossDataCentreTransferUs(int tokens) {
        return tokens * activationBytes * 8 / crossDataCentreBitsPerUs;
    }
}
