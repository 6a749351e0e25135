package org.tarragonarch.core.placement;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.testng.annotations.Test;

public class FreeSlotIndexTest {
    @Test
    public void testHighest_matchesScan() {
        Random random = new Random(5);
        FreeSlotIndex index = new FreeSlotIndex();
        List<EndpointSlots> endpoints = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            endpoints.add(EndpointSlots.create(EndpointId.of("worker-" + number)));
        }
        Map<EndpointSlots, Integer> model = new HashMap<>();
        for (int i = 0; i < 5000; i++) {
            EndpointSlots endpoint = endpoints.get(random.nextInt(endpoints.size()));
            if (random.nextInt(4) == 0) {
                index.remove(endpoint);
                model.remove(endpoint);
            } else {
                int rank = random.nextInt(12) - 3;
                index.put(endpoint, rank);
                model.put(endpoint, rank);
            }
            Set<EndpointId> avoid = Set.of(endpoints.get(0).endpoint());
            int expected = model.entrySet().stream()
                    .filter(entry -> entry.getKey() != endpoints.get(0))
                    .mapToInt(Map.Entry::getValue)
                    .filter(rank -> rank >= 1)
                    .max()
                    .orElse(0);
            assertEquals((int) index.highest(1, avoid, random).map(model::get).orElse(0), expected);
        }
    }
}
