/*
 * Routing, admission and fair queueing of one deployment on one node. Requests wait in the node rather than in the
 * engines, so that fair shares and deadlines can still decide their order, and start when an engine has room.
 * A request that can't meet its deadline is refused at once, before it is sent to any engine. A request that was sent
 * is never refused as not run.
 */
package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.fairness.FairShareLedger
import org.persimmonrelay.fairness.LimitManager
import org.persimmonrelay.fairness.ShareSummary
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Dispatches by expected time to first token. The owner may use [ledger] for summaries to peers, on the same thread as
 * this dispatcher.
 */
public class ExpectedTimeDispatcher(
    private val settings: RoutingSettings,
    private val random: Random,
    public val ledger: FairShareLedger = FairShareLedger(),
) : Dispatcher {
    private val profile = settings.engine
    private val outliers = OutlierDetector(settings.outlier)
    private val waitModel = WaitModel()
    private val pool = EnginePool(settings, outliers, waitModel, ledger)
    private val prefixes = PrefixDirectory()
    private val chooser = PlacementChooser(settings, pool, prefixes, ledger, random)
    private val queue = WaitingQueue(ledger)
    private val admission = AdmissionController(queue, ledger, random)
    private val retries = RetryBudget(settings.retry, random)
    private val limits = LimitManager()
    private val outputs = OutputEstimator()
    private val demand = DemandCounter()
    private val running = HashMap<RequestId, RunningAttempt>()
    private var sequence = 0L
    private var wakeAt: Moment? = null

    /** Number of waiting requests. */
    public val waitingRequests: Int
        get() = queue.size

    override fun takeDemand(): Demand = demand.take()

    override fun summary(node: NodeId, incarnation: Incarnation, deployment: DeploymentId, now: Moment): ShareSummary =
        ledger.summary(node, incarnation, deployment, now)

    override fun on(event: DispatchEvent, now: Moment): List<DispatchAction> {
        val actions = ArrayList<DispatchAction>(2)
        admission.elapsed(!queue.isEmpty, now)
        handle(event, now, actions)
        if (!queue.isEmpty) advance(now, actions)
        return actions
    }

    private fun handle(event: DispatchEvent, now: Moment, actions: MutableList<DispatchAction>) {
        when (event) {
            is DispatchEvent.Arrived -> arrived(event, now)?.let(actions::add)
            is DispatchEvent.Progressed -> progressed(event, now)
            is DispatchEvent.Ended -> ended(event, now)
            is DispatchEvent.Withdrawn -> queue.remove(event.id)
            is DispatchEvent.Reported -> pool.reported(event.report, now)
            is DispatchEvent.ServersChanged -> pool.setServers(event.servers, now)
            is DispatchEvent.PeerConsumed -> peerConsumed(event.summary, now)
            is DispatchEvent.Woken -> wakeAt = null
        }
    }

    private fun arrived(event: DispatchEvent.Arrived, now: Moment): DispatchAction? {
        val request = event.request
        if (event.attempt > 0 || event.outputSoFar > 0) return retry(event, now)
        if (event.failedServer == null) recordDemand(request)
        val refusal = refusal(request, now)
        if (refusal != null) return DispatchAction.Refuse(request.id, refusal)
        val avoid = event.failedServer?.let(pool::domainOf)
        queue.add(waiting(event, avoid, now, latestStart(request)))
        return null
    }

    private fun recordDemand(request: DispatchRequest) {
        demand.arrived(request)
        val expected = outputs.expected(request.workspace, request.maxOutputTokens)
        ledger.recordDemand(request.workspace, request.weight, profile.cost(request.promptTokens, expected))
    }

    private fun retry(event: DispatchEvent.Arrived, now: Moment): DispatchAction? {
        val request = event.request
        running.remove(request.id)?.let { release(it, now) }
        if (!retries.tryAcquire(request.workspace, event.attempt)) return DispatchAction.Abandon(request.id, NO_RETRY)
        val notBefore = now + retries.backoff(event.attempt)
        val avoid = event.failedServer?.let(pool::domainOf)
        val expiresAt = now + settings.retry.giveUpSeconds.seconds
        queue.add(waiting(event, avoid, notBefore, expiresAt))
        return null
    }

    private fun refusal(request: DispatchRequest, now: Moment): Refusal.NotRun? {
        if (pool.isEmpty) return NO_SERVER
        val tokens = expectedTokens(request)
        limits.check(request.workspace, request.limits, tokens, now)?.let { return it }
        val allowed = (latestStart(request) - now).toDouble(DurationUnit.SECONDS)
        if (allowed <= 0) return admission.late()
        val overdue = admission.expectedWait(request.workspace, request.weight) - allowed
        val full = queue.count(request.workspace) >= settings.maxWaitingPerWorkspace
        return if (overdue > 0 || full) admission.overloaded(overdue) else null
    }

    private fun waiting(event: DispatchEvent.Arrived, avoid: String?, notBefore: Moment, end: Moment): WaitingRequest {
        val request = event.request
        val expected = outputs.expected(request.workspace, request.maxOutputTokens)
        val left = maxOf(1, expected - event.outputSoFar)
        return WaitingRequest(
            request = request,
            outputSoFar = event.outputSoFar,
            attempt = event.attempt,
            avoidDomain = avoid,
            notBefore = notBefore,
            expiresAt = end,
            expectedOutput = expected,
            cost = profile.cost(request.promptTokens + event.outputSoFar, left),
            sequence = sequence++,
        )
    }

    /** The latest start that still gives the first token in time, by the recent waits in engines. */
    private fun latestStart(request: DispatchRequest): Moment {
        val wait = minOf(MAX_ENGINE_WAIT_SECONDS, waitModel.usualMaxWait)
        return request.firstTokenBy - (request.promptTokens * profile.prefillCost + wait + START_MARGIN_SECONDS).seconds
    }

    private fun advance(now: Moment, actions: MutableList<DispatchAction>) {
        queue.expired(now).forEach { actions += expired(it) }
        while (!queue.isEmpty && pool.hasPrefillRoom(now)) {
            val found = nextStart(now) ?: break
            actions += start(found.first, found.second, now)
        }
        wake(now)?.let(actions::add)
    }

    private fun expired(waiting: WaitingRequest): DispatchAction = if (waiting.neverRan) {
        DispatchAction.Refuse(waiting.request.id, admission.late())
    } else {
        DispatchAction.Abandon(waiting.request.id, NO_RETRY)
    }

    private fun nextStart(now: Moment): Pair<WaitingRequest, EngineChoice>? =
        ledger.order().take(MAX_TRIED).firstNotNullOfOrNull { workspace ->
            val head = queue.head(workspace)?.takeIf { it.notBefore <= now }
            head?.let { waiting -> chooser.choose(waiting, now)?.let { waiting to it } }
        }

    private fun start(waiting: WaitingRequest, choice: EngineChoice, now: Moment): DispatchAction {
        val request = waiting.request
        queue.remove(request.id)
        if (waiting.attempt == 0) retries.started(request.workspace)
        val predicted = choice.prefill.predictWait()
        val attempt = RunningAttempt(waiting, choice.prefill, choice.decode, choice.cachedTokens, predicted, now)
        running[request.id] = attempt
        choice.prefill.prefillAdded(attempt.prefillTokens, now)
        choice.decode.decodeAdded(waiting.kvTokens, now)
        prefixes.sent(choice.prefill.id, request.prefixBlocks)
        admission.started(waiting.cost)
        ledger.started(request.workspace, request.weight, waiting.cost, expectedTokens(request))
        limits.started(request.workspace, request.limits, expectedTokens(request), now)
        return DispatchAction.Start(request.id, EnginePlacement(choice.prefill.id, choice.decode.id))
    }

    private fun progressed(event: DispatchEvent.Progressed, now: Moment) {
        val attempt = running[event.id] ?: return
        val tokens = event.outputTokens - attempt.outputTokens
        if (tokens <= 0) return
        val seconds = (now - attempt.progressedAt).toDouble(DurationUnit.SECONDS)
        attempt.outputTokens = event.outputTokens
        attempt.progressedAt = now
        if (attempt.prefilled) {
            attempt.decode.recordStep(
                tokens,
                seconds,
                now,
            )
        } else {
            firstToken(attempt, event, seconds, now)
        }
    }

    private fun firstToken(attempt: RunningAttempt, event: DispatchEvent.Progressed, seconds: Double, now: Moment) {
        attempt.prefilled = true
        attempt.prefill.prefillRemoved(attempt.prefillTokens, now)
        val prefilled = attempt.waiting.promptTokens - event.cachedTokens
        waitModel.observed(attempt.predicted, seconds - attempt.prefill.prefillSeconds(prefilled))
        demand.prefilled(attempt.waiting.promptTokens, event.cachedTokens)
        if (event.cachedTokens >= attempt.cachedTokens) return
        val found = event.cachedTokens / profile.blockTokens
        prefixes.corrected(attempt.prefill.id, attempt.waiting.request.prefixBlocks, found)
    }

    private fun ended(event: DispatchEvent.Ended, now: Moment) {
        when (event.end) {
            AttemptEnd.DONE -> outliers.succeeded(event.server)
            AttemptEnd.ENGINE_FAILED -> engineFailed(event.server, now)
            AttemptEnd.ENGINE_REFUSED, AttemptEnd.CANCELLED -> Unit
        }
        val attempt = running.remove(event.id) ?: return
        release(attempt, now)
        val request = attempt.waiting.request
        if (event.end == AttemptEnd.DONE) {
            outputs.observed(request.workspace, request.maxOutputTokens, attempt.outputTokens)
            demand.ended(request.maxOutputTokens, attempt.outputTokens)
        }
    }

    private fun engineFailed(server: ServerId, now: Moment) {
        outliers.failed(server, now)
        if (outliers.isEjected(server, now)) prefixes.forget(server)
    }

    private fun release(attempt: RunningAttempt, now: Moment) {
        val waiting = attempt.waiting
        val request = waiting.request
        if (!attempt.prefilled) attempt.prefill.prefillRemoved(attempt.prefillTokens, now)
        attempt.decode.decodeRemoved(waiting.kvTokens, now)
        val generated = maxOf(0, attempt.outputTokens - waiting.outputSoFar)
        val prefilled = if (attempt.prefilled) attempt.prefillTokens else 0
        val actual = profile.cost(prefilled, generated)
        val tokens = request.promptTokens + attempt.outputTokens - expectedTokens(request)
        ledger.ended(request.workspace, actual - waiting.cost, tokens)
        limits.ended(request.workspace, request.limits, tokens, now)
    }

    private fun peerConsumed(summary: ShareSummary, now: Moment) {
        if (ledger.merge(summary, now)) limits.merge(summary, now)
    }

    private fun expectedTokens(request: DispatchRequest): Long =
        request.promptTokens.toLong() + outputs.expected(request.workspace, request.maxOutputTokens)

    /**
     * Requests a wake-up when a request expires, or after [POLL_MILLIS] if that is earlier, as an engine may have room.
     */
    private fun wake(now: Moment): DispatchAction? {
        val end = queue.nextExpiry() ?: return null
        val next = minOf(end, now + POLL_MILLIS.milliseconds)
        val scheduled = wakeAt
        if (scheduled != null && scheduled > now && scheduled <= next) return null
        wakeAt = next
        return DispatchAction.WakeAt(next)
    }

    private companion object {
        const val START_MARGIN_SECONDS = 0.1
        const val POLL_MILLIS = 20

        /** Upper limit of the expected wait in an engine, so that a slow period does not refuse all requests. */
        const val MAX_ENGINE_WAIT_SECONDS = 1.0

        /** Number of workspaces whose first request is tried, in fair order, until one finds room. */
        const val MAX_TRIED = 8

        val NO_SERVER =
            Refusal.NotRun(
                NotRunReason.NO_SERVER,
                "No backend server of this deployment takes work now; try again after the given time.",
                5.seconds,
            )

        val NO_RETRY =
            Refusal.OutcomeUnknown(
                "The engines failed during this request and it is not tried again; check its effect before repeating.",
            )
    }
}
