package org.persimmonrelay.catalog

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A kind of configuration object. [plural] is its name in paths and commands, [singular] its name in JSON. */
@Serializable
public enum class ObjectKind(public val plural: String, public val singular: String) {
    @SerialName("workspace")
    WORKSPACE("workspaces", "workspace"),

    @SerialName("key")
    KEY("keys", "key"),

    @SerialName("deployment")
    DEPLOYMENT("deployments", "deployment"),

    @SerialName("pool")
    POOL("pools", "pool"),

    @SerialName("server")
    SERVER("servers", "server"),

    @SerialName("service")
    SERVICE("services", "service"),

    @SerialName("limit")
    LIMIT("limits", "limit"),
    ;

    public companion object {
        /** The kind whose singular or plural name is [text], or null. */
        public fun of(text: String): ObjectKind? = entries.find { text == it.plural || text == it.singular }
    }
}

/** Identifies a configuration object. */
@Serializable
public data class ObjectRef(val kind: ObjectKind, val name: String) {
    override fun toString(): String = "${kind.plural}/$name"
}

/** The kind of this object. */
public val CatalogObject.kind: ObjectKind
    get() = when (this) {
        is Workspace -> ObjectKind.WORKSPACE
        is ApiKey -> ObjectKind.KEY
        is Deployment -> ObjectKind.DEPLOYMENT
        is Pool -> ObjectKind.POOL
        is BackendServerConfig -> ObjectKind.SERVER
        is PlainService -> ObjectKind.SERVICE
        is Limit -> ObjectKind.LIMIT
    }

/** The kind and name of this object. */
public val CatalogObject.ref: ObjectRef
    get() = ObjectRef(kind, name)

/** A copy of this object with [labels]. */
public fun CatalogObject.withLabels(labels: Map<String, String>): CatalogObject = when (this) {
    is Workspace -> copy(labels = labels)
    is ApiKey -> copy(labels = labels)
    is Deployment -> copy(labels = labels)
    is Pool -> copy(labels = labels)
    is BackendServerConfig -> copy(labels = labels)
    is PlainService -> copy(labels = labels)
    is Limit -> copy(labels = labels)
}
