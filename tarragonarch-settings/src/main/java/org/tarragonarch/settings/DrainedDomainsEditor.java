package org.tarragonarch.settings;

import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Set;
import java.util.TreeSet;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.settings.SettingsValue.ListValue;
import org.tarragonarch.settings.SettingsValue.ObjectValue;
import org.tarragonarch.settings.SettingsValue.ScalarValue;

/** Edits the drained failure domains in the canonical text of a configuration. */
public final class DrainedDomainsEditor {
    private DrainedDomainsEditor() {}

    /**
     * Returns the canonical text with the failure domain drained.
     *
     * @param canonical the canonical text of the configuration
     * @throws SettingsException if the text has mistakes
     */
    public static byte[] drain(byte[] canonical, FailureDomain domain) throws SettingsException {
        return edit(canonical, domain, true);
    }

    /**
     * Returns the canonical text with the failure domain not drained.
     *
     * @param canonical the canonical text of the configuration
     * @throws SettingsException if the text has mistakes
     */
    public static byte[] undrain(byte[] canonical, FailureDomain domain) throws SettingsException {
        return edit(canonical, domain, false);
    }

    private static byte[] edit(byte[] canonical, FailureDomain domain, boolean drain) throws SettingsException {
        String source = "the accepted configuration";
        MistakeCollector mistakes = new MistakeCollector();
        ObjectValue root = new SettingsParser(source, mistakes).parse(canonical);
        mistakes.throwIfAny(source);
        Set<String> drained = new TreeSet<>(SettingsObject.of(root, mistakes).texts(CatalogBuilder.DRAINED_DOMAINS));
        mistakes.throwIfAny(source);
        if (drain) {
            drained.add(domain.value());
        } else {
            drained.remove(domain.value());
        }
        return CanonicalText.of(withDrained(root, ImmutableSortedSet.copyOf(drained)));
    }

    private static ObjectValue withDrained(ObjectValue root, ImmutableSortedSet<String> drained) {
        ImmutableMap.Builder<String, SettingsValue> children = ImmutableMap.builder();
        root.children().forEach((key, value) -> {
            if (!key.equals(CatalogBuilder.DRAINED_DOMAINS)) {
                children.put(key, value);
            }
        });
        if (!drained.isEmpty()) {
            ImmutableList<SettingsValue> items = drained.stream()
                    .map(name -> new ScalarValue(root.location(), TextNode.valueOf(name)))
                    .collect(ImmutableList.toImmutableList());
            children.put(CatalogBuilder.DRAINED_DOMAINS, new ListValue(root.location(), items));
        }
        return new ObjectValue(root.location(), children.buildOrThrow());
    }
}
