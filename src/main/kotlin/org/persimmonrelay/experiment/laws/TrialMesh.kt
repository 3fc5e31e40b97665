package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.MembershipEvent
import org.persimmonrelay.standin.FakePeerHub
import org.persimmonrelay.standin.VirtualMesh
import kotlin.time.Duration

/** A mesh of nodes in virtual time whose membership protocol is tested. */
internal interface TrialMesh : AutoCloseable {
    val hub: FakePeerHub

    /** Called with the observing node and the node that it declares failed. */
    var onFailed: (NodeId, NodeId) -> Unit

    fun start(name: String, region: String)

    fun kill(node: NodeId)

    fun pause(node: NodeId)

    fun resume(node: NodeId)

    fun advance(duration: Duration)

    /** For each running node, the nodes that it considers to be serving. */
    fun serving(): Map<NodeId, Set<NodeId>>
}

/** Runs the real membership protocol. */
internal class SwimTrialMesh(seed: Long) : TrialMesh {
    private val mesh = VirtualMesh(seed)

    override val hub: FakePeerHub get() = mesh.hub
    override var onFailed: (NodeId, NodeId) -> Unit = { _, _ -> }

    init {
        mesh.onEvent = { observer, event, fields ->
            if (event == MembershipEvent.MEMBER_FAILED) onFailed(observer, NodeId(fields.getValue("member")))
        }
    }

    override fun start(name: String, region: String) {
        mesh.start(name, region)
    }

    override fun kill(node: NodeId) = mesh.kill(node)

    override fun pause(node: NodeId) = mesh.pause(node)

    override fun resume(node: NodeId) = mesh.resume(node)

    override fun advance(duration: Duration) = mesh.advance(duration)

    override fun serving(): Map<NodeId, Set<NodeId>> = mesh.nodes.mapValues { it.value.serving() }

    override fun close() = mesh.close()
}
