package org.persimmonrelay.catalog

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.timeline.EventSink
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DefaultKeyVerifierTest {
    private val digester = KeyDigester(ByteArray(32) { 3 })
    private val factory = KeyFactory(SecureRandom(), digester)
    private val issued = factory.issue("k", "w")
    private val state = CatalogState(EventSink.NONE)
    private val keyFreshness = KeyFreshnessTracker(FixedMembership("n1", "n2", "n3"), 8.seconds)
    private val verifier = DefaultKeyVerifier(state, digester, keyFreshness)
    private val keyStates = DefaultKeyStateLookup(state)

    init {
        state.adopt(Snapshot(1, listOf(StoredObject(1, Workspace("w")), StoredObject(1, issued.key))))
        keyFreshness.onHeadRead(Moment.ZERO, Moment.ZERO)
    }

    @Test
    fun `an issued key is valid with its workspace, and unknown or malformed keys are invalid`() {
        val other = factory.issue("other", "w").secret

        assertEquals("w", verifier.verify(issued.secret, Moment.ZERO).getOrNull()?.workspace?.name)
        assertEquals(NotRunReason.INVALID_KEY, refusal(other))
        assertEquals(NotRunReason.INVALID_KEY, refusal("pr_short"))
    }

    @Test
    fun `a withdrawn key is rejected, and its state is available to running requests`() {
        change(issued.key.copy(withdrawn = true))
        val withdrawn = keyStates.stateOf("k")
        change(issued.key.copy(withdrawn = true, cutRunning = true))

        assertEquals(NotRunReason.INVALID_KEY, refusal(issued.secret))
        assertEquals(listOf(KeyState.WITHDRAWN, KeyState.CUT), listOf(withdrawn, keyStates.stateOf("k")))
        assertEquals(KeyState.WITHDRAWN, keyStates.stateOf("deleted"))
    }

    @Test
    fun `on an isolated node the state of a key is unknown, but a withdrawn key is still invalid`() {
        val afterLimit = Moment.ZERO + 9.seconds

        assertEquals(NotRunReason.KEY_STATE_UNKNOWN, refusal(issued.secret, afterLimit))
        change(issued.key.copy(withdrawn = true))
        assertEquals(NotRunReason.INVALID_KEY, refusal(issued.secret, afterLimit))
    }

    @Test
    fun `issued keys are well formed, unique and not stored in clear text`() {
        val secrets = List(100) { factory.issue("k$it", null) }

        assertEquals(100, secrets.map { it.secret }.toSet().size)
        assertTrue(secrets.all { KeyFactory.isWellFormed(it.secret) })
        assertFalse(secrets.any { it.secret.drop(3) in it.key.toString() })
        assertNotEquals(KeyDigester(ByteArray(32) { 4 }).digest("x"), digester.digest("x"))
    }

    private fun refusal(presented: String, now: Moment = Moment.ZERO): NotRunReason? =
        verifier.verify(presented, now).leftOrNull()?.reason

    private fun change(key: ApiKey) = state.adopt(
        listOf(
            Delta(
                state.current.version + 1,
                OperationIdGenerator(Random(1)).next(),
                listOf(CatalogChange.Put(key)),
            ),
        ),
    )
}
