import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients with large requests, all within the config's limits, come at once. Later a key is withdrawn, and a few
 * small requests follow.
 */
final class LargeRequestBurst extends Case {
    private static final int BODY_BYTES = 4_000_000;
    private static final int WORK_MILLIS = 1_000;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final String WITHDRAWN_KEY = "nu6wsjnbanfqasnmgkcu";
    private static final int LATER_REQUESTS = 10;
    private static final double USUAL_PER_SECOND = 10;
    private static final double BURST_FACTOR = 2.0;
    private static final int CONFIG_MILLIS = 2_500;
    private static final int BURST_SECONDS = 10;

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger number = new AtomicInteger();

    LargeRequestBurst(String folder) throws Exception {
        super(folder);
    }

    @Override
    boolean run() throws Exception {
        config(7, "non_idempotent", TIMEOUT_MILLIS, 1, KEY, WITHDRAWN_KEY);
        BackendServer[] server = new BackendServer[1];
        server[0] = new BackendServer(this, "i-1", 1_000, (request, out, socket) -> {
            if (server[0].misdirected(request, out)) return true;
            note("server got " + request.header("Request-Id") + " with " + request.body.length + " bytes");
            Thread.sleep(request.body.length > 1000 ? WORK_MILLIS : 20);
            Http.respond(out, 200, BackendServer.proof(request), "ok".getBytes());
            return true;
        });
        Node node = startNode("front-puget-a-1");
        awaitReady(node);
        Thread.sleep(4_000);
        load(node, USUAL_PER_SECOND, 5);
        load(node, USUAL_PER_SECOND * (trouble ? BURST_FACTOR : 1), BURST_SECONDS);
        Thread.sleep(TIMEOUT_MILLIS + 4_000);
        note("large requests: " + answered + " answered with success, " + closed + " not");
        note("node's process " + (node.process().isAlive() ? "runs" : "has ended"));
        config(8, "non_idempotent", TIMEOUT_MILLIS, 1, KEY);
        Thread.sleep(CONFIG_MILLIS + 1_000);
        return isBrokenLater(node);
    }

    /** Half of the later requests carry the withdrawn key. */
    private boolean isBrokenLater(Node node) throws Exception {
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger servedWithWithdrawnKey = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(LATER_REQUESTS);
        for (int i = 0; i < LATER_REQUESTS; i++) {
            String id = "later-" + i;
            boolean isWithdrawn = i % 2 == 1;
            Http.daemon(id, () -> {
                int status = status(node, id, isWithdrawn ? WITHDRAWN_KEY : KEY, 100);
                if (status == 0) unanswered.incrementAndGet();
                if (isWithdrawn && status == 200) servedWithWithdrawnKey.incrementAndGet();
                ended.countDown();
            });
        }
        ended.await();
        note("of " + LATER_REQUESTS + " later requests, " + unanswered + " got no answer until 0.5 s after the route's "
            + "timeout, and " + servedWithWithdrawnKey + " were served with the withdrawn key");
        writeLogErrors(node);
        return unanswered.get() > LATER_REQUESTS / 2 || servedWithWithdrawnKey.get() > 0;
    }

    private void writeLogErrors(Node node) throws Exception {
        for (String line : java.nio.file.Files.readAllLines(node.log())) {
            if (line.startsWith("Exception") || line.contains("\"level\":\"ERROR\"")) {
                note("node's log: " + line.substring(0, Math.min(200, line.length())));
            }
        }
    }

    private void load(Node node, double perSecond, int seconds) throws Exception {
        note("large requests: " + perSecond + " a second for " + seconds + " s");
        long begin = System.nanoTime();
        for (int i = 0; i < perSecond * seconds; i++) {
            long due = begin + (long) (i * 1e9 / perSecond);
            long wait = (due - System.nanoTime()) / 1_000_000;
            if (wait > 0) Thread.sleep(wait);
            String id = "large-" + number.incrementAndGet();
            Http.daemon(id, () -> {
                if (status(node, id, KEY, BODY_BYTES) == 200) answered.incrementAndGet();
                else closed.incrementAndGet();
            });
        }
    }

    /** The status of the answer to a request; 0 if there is none until 0.5 s after the route's timeout. */
    private int status(Node node, String id, String key, int bodyBytes) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        int[] status = new int[1];
        Client[] client = new Client[1];
        Http.daemon(id + "-exchange", () -> {
            try {
                client[0] = new Client(node.callers(), 0, TIMEOUT_MILLIS + 500);
                client[0].request("POST", "/shop/photo", id, key, TIMEOUT_MILLIS, new byte[bodyBytes]);
                status[0] = client[0].receive().status();
                note(id + ": status " + status[0]);
            } catch (Exception e) {
                note(id + ": no answer: " + e);
            } finally {
                done.countDown();
            }
        });
        boolean inTime = done.await(TIMEOUT_MILLIS + 500, TimeUnit.MILLISECONDS);
        if (!inTime) note(id + ": no answer in time");
        if (client[0] != null) client[0].close();
        return inTime ? status[0] : 0;
    }

    public static void main(String[] arguments) throws Exception {
        new LargeRequestBurst(arguments[0]).execute();
    }
}
