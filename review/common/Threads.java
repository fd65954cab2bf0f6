package review;

/** Daemon threads for the stand-ins. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (java.io.IOException | InterruptedException e) {
                // A peer has closed its connection, or the case has ended.
            } catch (Exception e) {
                System.err.println(name + ": " + e);
            }
        });
        thread.setName(name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
