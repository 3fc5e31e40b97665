package org.persimmonrelay.admin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.persimmonrelay.catalog.ApiKey
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.CatalogChange
import org.persimmonrelay.catalog.CatalogEdit
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.ChangeFailure
import org.persimmonrelay.catalog.DefaultCatalogView
import org.persimmonrelay.catalog.ObjectKind
import org.persimmonrelay.catalog.ObjectRef
import org.persimmonrelay.catalog.withLabels

/** Operators' changes; each is computed again from the new catalog if another change was stored first. */
internal object CatalogEdits {
    fun apply(request: ApplyRequest): CatalogEdit = CatalogEdit {
        (request.objects.map(CatalogChange::Put) + request.delete.map(CatalogChange::Delete)).right()
    }

    fun put(value: CatalogObject): CatalogEdit = CatalogEdit { listOf(CatalogChange.Put(value)).right() }

    fun delete(ref: ObjectRef): CatalogEdit = CatalogEdit { view ->
        view.existing(ref).map { listOf(CatalogChange.Delete(ref)) }
    }

    fun label(ref: ObjectRef, patch: LabelPatch): CatalogEdit = replace(ref) {
        it.withLabels(it.labels - patch.remove.toSet() + patch.set)
    }

    /** Creates [key]; fails with a conflict if its name is in use. */
    fun issue(key: ApiKey): CatalogEdit = CatalogEdit { view ->
        if (view.key(key.name) == null) return@CatalogEdit listOf(CatalogChange.Put(key)).right()
        ChangeFailure.Conflict(view.version, "There is a key called \"${key.name}\" already.").left()
    }

    fun withdraw(name: String, cutRunning: Boolean): CatalogEdit = replace(ObjectRef(ObjectKind.KEY, name)) {
        (it as ApiKey).copy(withdrawn = true, cutRunning = cutRunning || it.cutRunning)
    }

    fun drain(name: String, drain: Boolean): CatalogEdit = replace(ObjectRef(ObjectKind.SERVER, name)) {
        (it as BackendServerConfig).copy(drain = drain)
    }

    private fun replace(ref: ObjectRef, change: (CatalogObject) -> CatalogObject) = CatalogEdit { view ->
        view.existing(ref).map { listOf(CatalogChange.Put(change(it))) }
    }

    private fun DefaultCatalogView.existing(ref: ObjectRef): Either<ChangeFailure, CatalogObject> =
        find(ref)?.right() ?: ChangeFailure.NotFound(ref).left()
}
