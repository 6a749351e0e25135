package org.tarragonarch.entry.caller;

import static org.testng.Assert.assertEquals;

import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.entry.Eventually;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a rename that changes the digest of a submission, which is stored in claims. */
public final class ContentDigestTest {
    /** Returns rows of a path, a body, and the SHA-256 digest of the form's name, the kind and the body. */
    @DataProvider
    public Object[][] submissions() {
        return new Object[][] {
            {
                "/v1/services/proof-board/requests/word-count",
                "{\"input\":1}",
                "d826ca46051ff30f6ae03bffbea5dfa51ecc17b467ea16ba3a1740a366cae6c6"
            },
            {
                "/v1/services/proof-board/jobs/word-count",
                "{\"tasks\":[{\"input\":1}]}",
                "47194e47df467cab4c672ce3183ba3765fdd9ca842a9e4ba1752ec7c54e0e20c"
            }
        };
    }

    @Test(dataProvider = "submissions")
    public void testSubmission_digestStaysTheSame(String path, String body, String digest) throws Exception {
        FakeCore core = new FakeCore((arrived, sink) -> {});
        try (CallerFixture fixture = CallerFixture.start(core);
                RawClient client = fixture.connect()) {
            client.send(RawClient.post(path, body));
            Eventually.check(
                    "the submission arrives",
                    () -> core.events(SubmissionArrived.class).size() == 1);
            assertEquals(core.events(SubmissionArrived.class).get(0).content().hex(), digest);
        }
    }
}
