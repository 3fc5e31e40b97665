/* JSON messages of the administration API, documented for clients in `openapi.json`. */
package org.persimmonrelay.admin

import kotlinx.serialization.Serializable
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.ExpectedVersion
import org.persimmonrelay.catalog.ObjectRef
import org.persimmonrelay.catalog.StoredObject
import org.persimmonrelay.catalog.ValidationError

/** Writes and deletes several objects atomically if the objects in [expect] still have the given versions. */
@Serializable
public data class ApplyRequest(
    val objects: List<CatalogObject> = emptyList(),
    val delete: List<ObjectRef> = emptyList(),
    val expect: List<ExpectedVersion> = emptyList(),
)

/** Labels to set and label keys to remove. */
@Serializable
public data class LabelPatch(val set: Map<String, String> = emptyMap(), val remove: List<String> = emptyList())

/** Requests a new key; without a workspace it is an operator's key. */
@Serializable
public data class IssueRequest(val workspace: String? = null, val labels: Map<String, String> = emptyMap())

/** A new key. [secret] can't be retrieved again. */
@Serializable
public data class IssueResponse(val secret: String, val change: ChangeResponse)

/**
 * An accepted change. [operation] is null if nothing had to be stored. [confirmed] of [expected] nodes have confirmed
 * the version. [inForce] is true if they are a majority; otherwise the remaining nodes may be unreachable and will
 * apply the version when they reconnect.
 */
@Serializable
public data class ChangeResponse(
    val version: Long,
    val changed: List<ObjectRef> = emptyList(),
    val operation: String? = null,
    val dryRun: Boolean = false,
    val confirmed: Int = 0,
    val expected: Int = 0,
    val inForce: Boolean = true,
)

/** Objects of one kind at [version]. */
@Serializable
public data class ObjectList(val version: Long, val items: List<StoredObject>)

/** The configuration version in force on the responding node. */
@Serializable
public data class VersionResponse(val version: Long)

/** The objects changed by one version, without their contents, so that no key digest is exposed. */
@Serializable
public data class ChangeRecord(val version: Long, val operation: String, val changed: List<ObjectRef>)

/**
 * State of the responding node. [storeConfirmedMillisAgo] is the time in milliseconds since the store last confirmed
 * the node's configuration, or null if it never has.
 */
@Serializable
public data class StatusResponse(
    val node: String,
    val version: Long,
    val ready: Boolean,
    val keysFresh: Boolean,
    val storeConfirmedMillisAgo: Long?,
    val objects: Map<String, Int>,
    val members: List<MemberStatus>,
)

/** One member in the responding node's membership view. */
@Serializable
public data class MemberStatus(val node: String, val domain: String, val region: String, val state: String)

/** Body of every error response. */
@Serializable
public data class AdminErrorResponse(val error: AdminError)

/** [code] is stable across releases, [message] describes the error, [remedy] tells what to do. */
@Serializable
public data class AdminError(
    val code: String,
    val message: String,
    val remedy: String,
    val mistakes: List<ValidationError> = emptyList(),
    val version: Long? = null,
    val operation: String? = null,
)
