package org.tarragonarch.ctl;

import java.io.PrintWriter;
import java.time.Duration;
import org.tarragonarch.ctl.command.TarragonCtl;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.settings.DurationText;
import picocli.CommandLine;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** The entry point of the operator program. */
public final class CtlMain {
    private CtlMain() {}

    /** Runs a command and exits with its {@link ExitCode}. */
    public static void main(String[] arguments) {
        PrintWriter out = new PrintWriter(System.out, true);
        PrintWriter err = new PrintWriter(System.err, true);
        System.exit(run(out, err, arguments));
    }

    /** Runs a command that prints to the given writers, and returns the exit status. */
    static int run(PrintWriter out, PrintWriter err, String... arguments) {
        return commandLine().setOut(out).setErr(err).execute(arguments);
    }

    private static CommandLine commandLine() {
        return new CommandLine(new TarragonCtl())
                .registerConverter(Address.class, converter(Address::parse))
                .registerConverter(Duration.class, converter(DurationText::parse))
                .registerConverter(EndpointId.class, converter(EndpointId::of))
                .registerConverter(FailureDomain.class, converter(FailureDomain::of))
                .registerConverter(KindName.class, converter(KindName::of))
                .registerConverter(OperatorName.class, converter(OperatorName::of))
                .registerConverter(ServiceName.class, converter(ServiceName::of))
                .registerConverter(ConfigurationVersion.class, converter(CtlMain::version))
                .setCaseInsensitiveEnumValuesAllowed(true)
                // '@FILE' names a file with inputs; picocli would expand it to further arguments.
                .setExpandAtFiles(false)
                .setParameterExceptionHandler(new UsageHandler())
                .setExecutionExceptionHandler(new FailureHandler());
    }

    private static ConfigurationVersion version(String text) {
        try {
            return ConfigurationVersion.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is not a version number", e);
        }
    }

    /** Converts an IllegalArgumentException to the type that picocli reports as a usage error. */
    private static <T> ITypeConverter<T> converter(ITypeConverter<T> parse) {
        return text -> {
            try {
                return parse.convert(text);
            } catch (IllegalArgumentException e) {
                throw new TypeConversionException(e.getMessage());
            }
        };
    }
}
