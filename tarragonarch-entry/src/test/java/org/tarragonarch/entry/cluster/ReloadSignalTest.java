package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Signals that announce changed settings, at any time in the life of a process. */
public final class ReloadSignalTest {
    private static final long TIMEOUT_SECONDS = 30;

    /** The time in which a signal that ends a process has ended it, in milliseconds. */
    private static final long EFFECT_MILLIS = 1_000;

    /** The exit code for wrong settings. */
    private static final int EXIT_USAGE = 2;

    /** Guards against a signal that ends a process which is still reading its settings. */
    @Test
    public void testMain_signalWhileSettingsAreRead() throws Exception {
        Path folder = Files.createTempDirectory("signal");
        Path settings = folder.resolve("settings");
        assertEquals(run("mkfifo", settings.toString()).waitFor(), 0);
        Process node = run(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                ClusterMain.class.getName(),
                settings.toString());
        // Opening the pipe returns once the process reads its settings.
        try (OutputStream pipe = Files.newOutputStream(settings)) {
            assertEquals(run("kill", "-HUP", Long.toString(node.pid())).waitFor(), 0);
            assertFalse(node.waitFor(EFFECT_MILLIS, TimeUnit.MILLISECONDS), "the signal has ended the process");
            pipe.write("{}".getBytes(StandardCharsets.UTF_8));
        } finally {
            Files.delete(settings);
            Files.delete(folder);
        }
        assertTrue(node.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(node.exitValue(), EXIT_USAGE);
    }

    private static Process run(String... command) throws IOException {
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    /** Guards against early signals after which changed settings are never read, or are read once for each. */
    @Test
    public void testSetTask_signalsBefore() throws Exception {
        ReloadSignal signal = ReloadSignal.install();
        Semaphore runs = new Semaphore(0);
        long pid = ProcessHandle.current().pid();
        assertEquals(run("kill", "-HUP", Long.toString(pid)).waitFor(), 0);
        awaitPending(signal);
        signal.setTask(runs::release);
        assertEquals(runs.availablePermits(), 1);
        assertEquals(run("kill", "-HUP", Long.toString(pid)).waitFor(), 0);
        assertTrue(runs.tryAcquire(2, TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(runs.availablePermits(), 0);
    }

    private static void awaitPending(ReloadSignal signal) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!signal.isPending()) {
            assertTrue(System.nanoTime() < until, "the signal has not arrived");
            Thread.sleep(1);
        }
    }
}
