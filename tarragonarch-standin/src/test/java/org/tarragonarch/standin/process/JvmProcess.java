package org.tarragonarch.standin.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One JVM of a test, started with the test's own class path; its output goes to a file. */
public final class JvmProcess {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

    private final Process process;
    private final Path output;

    private JvmProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    /** Starts the main class with these arguments; what it writes goes to {@code name.log} in the folder. */
    public static JvmProcess start(Path folder, String name, String mainClass, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        Path output = folder.resolve(name + ".log");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
        return new JvmProcess(process, output);
    }

    /** Returns whether the process still runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    String output() throws IOException {
        return Files.readString(output, StandardCharsets.UTF_8);
    }

    /** Asks the process to end, as the platform does before it takes a VM away (SIGTERM). */
    public void terminate() {
        process.destroy();
    }

    /** Waits for the end and returns the exit code. */
    int awaitExit(Duration timeout) throws InterruptedException {
        if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new AssertionError("process " + process.pid() + " still runs after " + timeout);
        }
        return process.exitValue();
    }

    /** Ends the process at once (SIGKILL), also a frozen one. */
    public void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Freezes the process (SIGSTOP): its connections stay open, and nothing in it runs. */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Lets a frozen process go on (SIGCONT), unaware of the time that passed. */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Sends a signal; a process that has ended by itself meanwhile, as overlapping faults bring about, needs none. */
    private void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        if (kill.waitFor() != 0 && process.isAlive()) {
            throw new IOException("signal " + name + " could not be sent to " + process.pid());
        }
    }
}
