/*
 * Names of the things that the system handles. Each is a value class over a string, so that a
 * workspace can't be passed where a backend server is expected.
 */
package org.persimmonrelay.identity

import kotlinx.serialization.Serializable

/** Name of a node (one `serve` process); unique among running nodes and kept across restarts. */
@Serializable
@JvmInline
public value class NodeId(public val value: String) {
    override fun toString(): String = value
}

/** One life of a node: drawn anew at each start, so that a restarted node can't be taken for its predecessor. */
@Serializable
@JvmInline
public value class Incarnation(public val value: String) {
    override fun toString(): String = value
}

/** Name of a backend server: an engine or a server of a plain service. */
@Serializable
@JvmInline
public value class ServerId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a workspace, the unit of isolation, fair share and billing. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a model deployment, which is what callers write in the `model` field. */
@Serializable
@JvmInline
public value class DeploymentId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a pool of backend servers. */
@Serializable
@JvmInline
public value class PoolId(public val value: String) {
    override fun toString(): String = value
}

/** Set of hosts that fail together. */
@Serializable
@JvmInline
public value class FailureDomain(public val value: String) {
    override fun toString(): String = value
}

/** Group of failure domains with cheap, fast links between them. */
@Serializable
@JvmInline
public value class Region(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one caller's request across nodes, attempts and logs. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one write, so that its author can tell after a lost answer whether it took effect. */
@Serializable
@JvmInline
public value class OperationId(public val value: String) {
    override fun toString(): String = value
}
