package org.tarragonarch.entry.cluster;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Takes the signal by which operators say that the settings file has changed.
 *
 * <p>Without a handler the virtual machine ends at this signal, and with it every open request. The class that takes
 * signals is internal to the JDK and is therefore used by name alone: where it is missing, the process keeps the
 * virtual machine's behaviour.
 */
final class ReloadSignal {
    private ReloadSignal() {}

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
            System.err.println("lifecycle HUP: cannot take the signal: " + e);
        }
    }
}
