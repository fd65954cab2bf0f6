package io.radishwinch.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** One attempt as one stage of its chain sees it. */
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

    /** Set on the head only. */
    HttpServerResponse response;

    long deadlineAtMs = Long.MAX_VALUE;
    long arrivalOrder;
    boolean isAdmitted;
    boolean isClosed;
    boolean isPrefilled;
    boolean isReady;
    boolean isStalled;
    Step queuedStep;
    int stepSequence = -1;
    long stepStartedAtMs;

    private StageAttempt(JsonNode body, int index) {
        this.body = body;
        this.stageIndex = index;
        requestId = Json.required(body, "request").asText();
        if (!REQUEST_ID.matcher(requestId).matches()) {
            throw new IllegalArgumentException("field request has invalid characters or length");
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

    /** Reads the attempt as the head receives it from a router. */
    static StageAttempt forFirstStage(JsonNode body) {
        return new StageAttempt(body, 0);
    }

    /** Reads the attempt as a later stage receives it from the stage before. */
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

    /** Returns whether a step is on its way through later stages, seen from the head. */
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
                throw new IllegalArgumentException("stages do not cover each layer exactly once, in order");
            }
            next = stage.end;
            stages.add(stage);
        }
        if (stages.isEmpty()) {
            throw new IllegalArgumentException("field stages is empty");
        }
        return stages;
    }

    /** One stage of the chain. */
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
     * One token position on one stage.
     *
     * @param attempt attempt
     * @param sequence position
     * @param trace layer ranges and times of the stages before, {@code first-end:us} separated by commas
     * @param order order of arrival
     */
    record Step(StageAttempt attempt, int sequence, String trace, long order) {}
}
