package org.tarragonarch.ctl.command;

import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.model.id.ContentDigest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Creates a token for a caller or an operator. */
@Command(
        name = "token",
        description = "Prints a new random token and its SHA-256 digest. Give the token to its owner, and put only the"
                + " digest in the configuration.")
final class TokenCommand implements Callable<Integer> {
    private static final int TOKEN_BYTES = 32;

    @Mixin
    private Output output;

    @Override
    public Integer call() {
        byte[] random = new byte[TOKEN_BYTES];
        new SecureRandom().nextBytes(random);
        String token = BaseEncoding.base64Url().omitPadding().encode(random);
        ContentDigest digest = ContentDigest.of(token.getBytes(StandardCharsets.UTF_8));
        output.printTable(Table.of("token", "token-sha256").row(token, digest), "");
        return ExitCode.OK.number();
    }
}
