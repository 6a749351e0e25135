package org.tarragonarch.standin.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A JVM started by a test with the test's own class path, whose output goes to a file. */
public final class JvmProcess {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

    private final Process process;
    private final Path output;

    private JvmProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    /** Starts a main class; its output is appended to {@code name.log} in the folder. */
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

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    String output() throws IOException {
        return Files.readString(output, StandardCharsets.UTF_8);
    }

    /** Asks the process to stop (SIGTERM), as the platform does before it removes a VM. */
    public void terminate() {
        process.destroy();
    }

    /** Waits until the process has ended and returns its exit code. */
    int awaitExit(Duration timeout) throws InterruptedException {
        if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new AssertionError("process " + process.pid() + " is still running after " + timeout);
        }
        return process.exitValue();
    }

    /** Kills the process (SIGKILL), even if it is paused, and waits until it has ended. */
    public void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Pauses the process (SIGSTOP); its connections stay open. */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Resumes a paused process (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Sends a signal; does nothing if the process has ended, which overlapping faults can cause. */
    private void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        if (kill.waitFor() != 0 && process.isAlive()) {
            throw new IOException("signal " + name + " could not be sent to " + process.pid());
        }
    }
}
