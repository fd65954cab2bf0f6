package io.radishwinch.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** State of an attempt on one stage of its chain. */
final class StageAttempt {
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
    private static final int MAX_STAGES = 256;

    final String key;
    final String requestId;
    final int epoch;
    final String model;
    final List<StageRef> stages;
    final int stageIndex;
    final String prompt;
    final long seed;
    final int promptTokens;
    final List<Long> prefixHashes;
    final int resumeFrom;
    final int maxNewTokens;
    final int priority;
    final JsonNode body;

    /** Response to the router, on the first stage only. */
    HttpServerResponse response;

    long deadlineAtMs = Long.MAX_VALUE;
    long arrivalOrder;
    boolean isAdmitted;
    boolean isClosed;
    boolean isPrefilled;
    boolean isReady;
    boolean isStalled;
    boolean hasRun;
    Step queuedStep;
    int stepSequence = -1;
    long stepStartedAtMs;

    private StageAttempt(JsonNode body, int index) {
        this.body = body;
        this.stageIndex = index;
        requestId = Json.required(body, "request").asText();
        if (!REQUEST_ID.matcher(requestId).matches()) {
            throw new IllegalArgumentException("field request does not match [A-Za-z0-9._:-]{1,128}");
        }
        epoch = Json.required(body, "epoch").asInt();
        key = ExecutionLedger.attemptKey(requestId, epoch);
        model = Json.required(body, "model").asText();
        stages = readStages(Json.required(body, "stages"));
        prompt = Json.required(body, "prompt").asText();
        seed = Vocabulary.seed(prompt);
        promptTokens = Json.required(body, "promptTokens").asInt();
        prefixHashes = new ArrayList<>();
        body.path("prefixHashes").forEach(hash -> prefixHashes.add(hash.asLong()));
        resumeFrom = body.has("resumeFrom")
                ? body.get("resumeFrom").asInt()
                : body.path("delivered").size();
        maxNewTokens = Json.required(body, "maxNewTokens").asInt();
        priority = body.path("priority").asInt();
    }

    /**
     * Creates the attempt of the first stage from the request body of a router.
     *
     * @throws IllegalArgumentException if a field is missing or invalid
     */
    static StageAttempt forFirstStage(JsonNode body) {
        return new StageAttempt(body, 0);
    }

    /**
     * Creates the attempt of a later stage from the open message of the previous stage.
     *
     * @throws IllegalArgumentException if a field is missing or invalid
     */
    static StageAttempt forLaterStage(JsonNode body) {
        return new StageAttempt(body, Json.required(body, "index").asInt());
    }

    /** Returns the message that opens the attempt on the next stage. */
    ObjectNode openMessage() {
        ObjectNode message = Json.object();
        message.put("op", "open");
        message.put("index", stageIndex + 1);
        message.put("resumeFrom", resumeFrom);
        for (String field : List.of(
                "request",
                "epoch",
                "model",
                "stages",
                "prompt",
                "promptTokens",
                "prefixHashes",
                "maxNewTokens",
                "priority")) {
            if (body.has(field)) {
                message.set(field, body.get(field));
            }
        }
        return message;
    }

    StageRef stage() {
        return stages.get(stageIndex);
    }

    StageRef firstStage() {
        return stages.get(0);
    }

    StageRef nextStage() {
        return isLast() ? null : stages.get(stageIndex + 1);
    }

    /** Returns whether the first stage waits for a step to return from the later stages. */
    boolean isWaitingForLaterStages() {
        return isAdmitted && !isStalled && stages.size() > 1;
    }

    boolean usesEndpoint(String endpoint) {
        return stages.stream().anyMatch(stage -> stage.endpoint().equals(endpoint));
    }

    boolean isFirst() {
        return stageIndex == 0;
    }

    boolean isLast() {
        return stageIndex == stages.size() - 1;
    }

    private static List<StageRef> readStages(JsonNode nodes) {
        List<StageRef> stages = new ArrayList<>();
        int next = 0;
        for (JsonNode node : nodes) {
            StageRef stage = StageRef.read(node);
            if (stage.first != next || stage.end <= next || stages.size() == MAX_STAGES) {
                throw new IllegalArgumentException(
                        "field stages is not a bounded list of contiguous layer ranges from layer 0");
            }
            next = stage.end;
            stages.add(stage);
        }
        if (stages.isEmpty()) {
            throw new IllegalArgumentException("field stages is empty, expected at least one stage");
        }
        return stages;
    }

    /** A stage of the chain with its address, its layers and the engines that may hold its KV cache. */
    record StageRef(String endpoint, String host, int port, int first, int end, List<StageRef> kvSources) {
        static StageRef read(JsonNode node) {
            List<StageRef> sources = new ArrayList<>();
            node.path("kvSources").forEach(source -> sources.add(read(source)));
            return new StageRef(
                    Json.required(node, "endpoint").asText(),
                    Json.required(node, "host").asText(),
                    Json.required(node, "port").asInt(),
                    node.path("first").asInt(),
                    node.path("end").asInt(),
                    sources);
        }
    }

    /**
     * The work on one token position on one stage.
     *
     * @param attempt attempt of the stage
     * @param sequence token position
     * @param trace layer ranges and times of the previous stages as {@code first-end:us}, separated by commas
     * @param order sequence number that orders steps of the same priority
     */
    record Step(StageAttempt attempt, int sequence, String trace, long order) {}
}
