/*
 * Typed identifiers. Each is a value class over a string, so that the compiler rejects, for example, a workspace
 * where a backend server is expected.
 */
package org.persimmonrelay.identity

import kotlinx.serialization.Serializable

/** Name of a node (one `serve` process); unique among running nodes and stable across restarts. */
@Serializable
@JvmInline
public value class NodeId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one run of a node: generated at each start, so that a restarted node isn't mistaken for its last run. */
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

/** Name of a model deployment; callers send it in the `model` field. */
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

/** Name of a set of hosts that are likely to fail together. */
@Serializable
@JvmInline
public value class FailureDomain(public val value: String) {
    override fun toString(): String = value
}

/** Name of a group of failure domains with fast, inexpensive links between them. */
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

/** Identifies one write, so that the writer can check whether it took effect if the response is lost. */
@Serializable
@JvmInline
public value class OperationId(public val value: String) {
    override fun toString(): String = value
}
