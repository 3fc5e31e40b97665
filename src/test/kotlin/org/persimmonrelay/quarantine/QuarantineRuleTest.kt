package org.persimmonrelay.quarantine

import org.persimmonrelay.identity.ServerId
import kotlin.test.Test
import kotlin.test.assertEquals

class QuarantineRuleTest {
    @Test
    fun `a part under which three servers ended one after the other is quarantined`() {
        assertEquals(emptySet(), quarantinedSuspects(ledger(lost("p", 1, 2))))
        assertEquals(setOf("p"), quarantinedSuspects(ledger(lost("p", 1, 2, 3))))
    }

    // Guards against refusing sound requests that share other parts with those that end servers (LOST).
    @Test
    fun `parts that harmless requests share with the quarantined one stay in use`() {
        val deadly = lost("deadly", 1, 2, 3, 4).copy(position = 1)
        val system = lost("system", 1, 2, 3, 4)

        assertEquals(setOf("deadly"), quarantinedSuspects(ledger(system, deadly)))
    }

    @Test
    fun `a part that was in complete responses is suspected last`() {
        val deadly = lost("deadly", 1, 2, 3)
        val usual = lost("usual", 1, 2, 3, 4).copy(position = 1, completeAtMillis = 0)

        assertEquals(setOf("deadly"), quarantinedSuspects(ledger(usual, deadly)))
    }

    @Test
    fun `parts of requests that were broken with the deadly one stay in use`() {
        val deadly = lost("deadly", 1, 2, 3, 4, 5, 6)
        val bystander = lost("bystander", 2, 4, 5).copy(position = 1)

        assertEquals(setOf("deadly"), quarantinedSuspects(ledger(bystander, deadly)))
    }

    @Test
    fun `a part that was wrongly suspected is released when another explains its losses`() {
        val bystander = lost("bystander", 1, 2, 3).copy(position = 1)
        assertEquals(setOf("bystander"), quarantinedSuspects(ledger(bystander, lost("deadly", 1, 2))))

        assertEquals(setOf("deadly"), quarantinedSuspects(ledger(bystander, lost("deadly", 1, 2, 3, 4))))
    }

    @Test
    fun `two deadly parts are both quarantined`() {
        assertEquals(setOf("a", "b"), quarantinedSuspects(ledger(lost("a", 1, 3, 5), lost("b", 2, 4, 6))))
    }

    // Guards against suspecting a busy part when a rack is lost under it.
    @Test
    fun `servers that end at the same moment count once`() {
        val losses = List(12) { ServerLoss(ServerId("s$it"), 1, atMillis = 5_000L + it * 5) }

        assertEquals(emptySet(), quarantinedSuspects(ledger(SuspectRecord("busy", 0, losses))))
    }

    /** Guards against a fourth server for a request whose attempts follow each other within milliseconds (BUDGET). */
    @Test
    fun `a content that was never answered is quarantined after three servers, however soon they ended`() {
        val losses = List(3) { ServerLoss(ServerId("s$it"), 1, atMillis = 5_000L + it * 5) }
        val content = SuspectRecord("content:c", Suspect.CONTENT_POSITION, losses)

        assertEquals(setOf("content:c"), quarantinedSuspects(ledger(content)))
        assertEquals(emptySet(), quarantinedSuspects(ledger(content.copy(completeAtMillis = 1_000))), "a rack was lost")
    }

    @Test
    fun `losses of attempts that followed each other are no single moment`() {
        val losses = List(3) { ServerLoss(ServerId("s$it"), 1, atMillis = 5_000L + it * 5, isRetry = it > 0) }

        assertEquals(setOf("p"), quarantinedSuspects(ledger(SuspectRecord("p", 0, losses))))
    }

    @Test
    fun `the content goes before the parts of its prompt`() {
        val losses = lost("p", 1, 2, 3)
        val content = SuspectRecord("content:c", Suspect.CONTENT_POSITION, losses.losses)

        val decision = decideQuarantine(ledger(losses, content))

        assertEquals(setOf("content:c"), decision.quarantined)
        assertEquals(setOf("p"), decision.doubtful, "it may be the part as well")
    }

    @Test
    fun `two contents that were lost together are both quarantined until one is answered or lost less often`() {
        val one = SuspectRecord("content:one", Suspect.CONTENT_POSITION, lost("", 1, 2, 3).losses)
        val two = one.copy(id = "content:two")

        assertEquals(setOf("content:one", "content:two"), quarantinedSuspects(ledger(one, two)))
        val again = two.copy(losses = lost("", 1, 2, 3, 4).losses)
        assertEquals(setOf("content:two"), quarantinedSuspects(ledger(one, again)))
    }

    private fun ledger(vararg records: SuspectRecord) = LossLedger(records.toList())

    /** The part [part], with the loss of server N at N seconds for each of [servers]. */
    private fun lost(part: String, vararg servers: Int) =
        SuspectRecord(part, 0, servers.map { ServerLoss(ServerId("s$it"), 1, it * 1_000L) })
}
