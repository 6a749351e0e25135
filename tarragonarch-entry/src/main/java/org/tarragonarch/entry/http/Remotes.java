package org.tarragonarch.entry.http;

import io.netty.channel.Channel;

/** Formats the remote address of a connection for logs. */
final class Remotes {
    private Remotes() {}

    static String of(Channel channel) {
        return channel.remoteAddress() == null
                ? "unknown"
                : channel.remoteAddress().toString().replaceFirst("^.*/", "");
    }
}
