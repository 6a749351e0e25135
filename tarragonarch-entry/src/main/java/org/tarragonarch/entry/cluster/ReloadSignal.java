package org.tarragonarch.entry.cluster;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles the signal (HUP) by which operators announce a changed settings file.
 *
 * <p>Without a handler this signal ends the Java virtual machine and with it every open request. The signal API is
 * internal to the JDK and is therefore used by reflection: where it is missing, the signal keeps its default effect.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /** Runs a task at each signal; prints a message to standard error if no handler can be installed. */
    static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler call = (proxy, method, arguments) -> {
                task.run();
                return null;
            };
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, call);
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ReflectiveOperationException e) {
            System.err.println("lifecycle HUP: cannot handle the signal: " + e);
        }
    }
}
