package org.persimmonrelay.entry

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.emptyFlow
import org.persimmonrelay.catalog.CatalogSource
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.KeyStateLookup
import org.persimmonrelay.catalog.KeyVerifier
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.once.IdempotencyManager
import org.persimmonrelay.routing.Dispatcher
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.usage.UsageMeter

/** The active configuration, and the verification and withdrawal state of callers' keys. */
public class AccessControl(
    public val catalog: CatalogSource,
    public val keys: KeyVerifier,
    public val keyStates: KeyStateLookup,
)

/**
 * Collaborators of [EntryServer].
 *
 * [loads] emits the latest report of each engine whenever one changes. [drainingServers] names backend servers
 * that get no new work although the catalog still lists them.
 */
public class EntryDependencies(
    public val incarnation: Incarnation,
    public val clock: Clock,
    public val access: AccessControl,
    public val engine: EngineClient,
    public val once: IdempotencyManager,
    public val usage: UsageMeter,
    public val events: EventSink,
    public val registry: PrometheusMeterRegistry,
    public val loads: Flow<Map<ServerId, EngineLoadReport>> = emptyFlow(),
    public val drainingServers: StateFlow<Set<ServerId>> = MutableStateFlow(emptySet()),
    public val dispatcherFactory: (Deployment) -> Dispatcher,
)
