/* JSON messages of the administration API; `openapi.json` describes them for clients. */
package org.persimmonrelay.admin

import kotlinx.serialization.Serializable
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.ExpectedVersion
import org.persimmonrelay.catalog.ObjectRef
import org.persimmonrelay.catalog.StoredObject
import org.persimmonrelay.catalog.ValidationError

/** Many objects to write and remove at once, if those in [expect] still are at these versions. */
@Serializable
public data class ApplyRequest(
    val objects: List<CatalogObject> = emptyList(),
    val delete: List<ObjectRef> = emptyList(),
    val expect: List<ExpectedVersion> = emptyList(),
)

/** Labels to set and label keys to remove. */
@Serializable
public data class LabelPatch(val set: Map<String, String> = emptyMap(), val remove: List<String> = emptyList())

/** Asks for a new key; without a workspace it is an operator's. */
@Serializable
public data class IssueRequest(val workspace: String? = null, val labels: Map<String, String> = emptyMap())

/** A new key, shown this once. */
@Serializable
public data class IssueResponse(val secret: String, val change: ChangeResponse)

/**
 * An accepted change. [operation] is null when nothing had to be stored. [inForce] is true when a majority of the
 * nodes confirmed the version; otherwise the nodes that did not may be cut off and catch up when they return.
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

/** The version in force on the answering node. */
@Serializable
public data class VersionResponse(val version: Long)

/** What one version changed; keys' digests are left out. */
@Serializable
public data class ChangeRecord(val version: Long, val operation: String, val changed: List<ObjectRef>)

/** The answering node's part in the system. */
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

/** One member as the answering node sees it. */
@Serializable
public data class MemberStatus(val node: String, val domain: String, val region: String, val state: String)

/** Every failure has this form. */
@Serializable
public data class AdminErrorResponse(val error: AdminError)

/** [code] is stable, [message] says what happened, [remedy] what to do. */
@Serializable
public data class AdminError(
    val code: String,
    val message: String,
    val remedy: String,
    val mistakes: List<ValidationError> = emptyList(),
    val version: Long? = null,
    val operation: String? = null,
)
