package org.tarragonarch.entry.cluster;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * Handles the signal (HUP) by which operators announce a changed settings file.
 *
 * <p>Without a handler this signal ends the Java virtual machine and with it every open request. It may arrive at any
 * time, so the handler is installed before anything else, and a signal that arrives before there is a task is kept. The
 * signal API is internal to the JDK and is therefore used by reflection: where it is missing, the signal keeps its
 * default effect.
 */
final class ReloadSignal {
    private Optional<Runnable> task = Optional.empty();
    private boolean isPending;

    private ReloadSignal() {}

    /** Installs the handler; prints a message to standard error if this fails. */
    static ReloadSignal install() {
        ReloadSignal installed = new ReloadSignal();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler call = (proxy, method, arguments) -> {
                installed.received();
                return null;
            };
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, call);
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ReflectiveOperationException e) {
            System.err.println("lifecycle HUP: cannot handle the signal: " + e);
        }
        return installed;
    }

    /** Sets the task to run at each signal, and runs it once now if any signal has arrived before. */
    synchronized void setTask(Runnable reload) {
        task = Optional.of(reload);
        if (isPending) {
            isPending = false;
            reload.run();
        }
    }

    /** Returns whether a signal waits for a task. */
    synchronized boolean isPending() {
        return isPending;
    }

    private synchronized void received() {
        task.ifPresentOrElse(Runnable::run, () -> isPending = true);
    }
}
