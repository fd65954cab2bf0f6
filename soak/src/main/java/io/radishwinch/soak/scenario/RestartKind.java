package io.radishwinch.soak.scenario;

/** Routers that a restart kills; each is started again at once, at its addresses. */
public enum RestartKind {
    /** One router, in turn. */
    IN_TURN("in-turn"),
    /** All routers. */
    TOGETHER("together");

    private final String text;

    RestartKind(String text) {
        this.text = text;
    }

    /** Returns the name in scenario files. */
    public String text() {
        return text;
    }
}
