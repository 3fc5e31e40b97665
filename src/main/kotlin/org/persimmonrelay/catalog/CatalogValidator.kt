package org.persimmonrelay.catalog

/** Validates a change before it is stored, so that nodes only read valid configurations. */
public object CatalogValidator {
    private const val MAX_NAME_LENGTH = 63
    private const val MAX_LABELS = 32
    private const val MAX_SUMMARY_NAMES = 3
    private const val MAX_PORT = 65_535
    private const val MAX_LABEL_LENGTH = 63
    private const val MAX_WEIGHT = 10_000
    private const val MAX_SECONDS = 3_600.0
    private const val MAX_MILLIS = 60_000.0
    private const val MAX_TOKENS = 10_000_000
    private const val DIGEST_LENGTH = 64
    private val NAME = Regex("[a-z0-9]([a-z0-9._-]*[a-z0-9])?")
    private val ADDRESS = Regex("[^\\s/:]+:\\d{1,5}|\\[[0-9a-fA-F:]+]:\\d{1,5}")
    private val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    /** All errors in [changes] to [before]; empty when the changes are valid. */
    public fun validate(before: DefaultCatalogView, changes: List<CatalogChange>): List<ValidationError> {
        val duplicates = changes.groupBy { it.ref }.filterValues { it.size > 1 }.keys
        if (duplicates.isNotEmpty()) return duplicates.map(::duplicateError)
        val after = before.with(changes)
        return changes.flatMap { change ->
            when (change) {
                is CatalogChange.Put -> ErrorCollector(change.ref).apply { check(change.value, before, after) }.errors
                is CatalogChange.Delete -> deletionErrors(change.ref, before, after)
            }
        }
    }

    private fun duplicateError(ref: ObjectRef) =
        ValidationError("$ref", "The change names this object more than once.", "Keep one entry for it.")

    private fun deletionErrors(ref: ObjectRef, before: DefaultCatalogView, after: DefaultCatalogView) =
        ErrorCollector(ref).apply {
            check(before.find(ref) != null, "", "There is no such object.", "Check the name with `ctl get`.")
            if (ref.kind != ObjectKind.WORKSPACE) return@apply
            val keys = after.select(ObjectKind.KEY, Selector.ALL).filter { (it as ApiKey).workspace == ref.name }
            check(keys.isEmpty(), "", "Keys still belong to it: ${summary(keys)}.", "Delete these keys as well.")
        }.errors

    private fun summary(objects: List<CatalogObject>): String =
        objects.take(MAX_SUMMARY_NAMES).joinToString { it.name } + if (objects.size > MAX_SUMMARY_NAMES) ", …" else ""

    private fun ErrorCollector.check(value: CatalogObject, before: DefaultCatalogView, after: DefaultCatalogView) {
        name("name", value.name)
        labels(value.labels)
        when (value) {
            is Workspace -> range("weight", value.weight, 1..MAX_WEIGHT)
            is ApiKey -> key(value, before, after)
            is Deployment -> deployment(value)
            is Pool -> pool(value)
            is BackendServerConfig -> server(value)
            is PlainService -> service(value)
            is Limit -> limit(value)
        }
    }

    private fun ErrorCollector.name(path: String, name: String) = check(
        name.length <= MAX_NAME_LENGTH && NAME.matches(name),
        path,
        "\"$name\" is no name.",
        "Use up to $MAX_NAME_LENGTH lower-case letters, digits, \"-\", \"_\" and \".\", " +
            "the first and last being a letter or digit.",
    )

    private fun ErrorCollector.labels(labels: Map<String, String>) {
        check(labels.size <= MAX_LABELS, "labels", "${labels.size} labels.", "Keep at most $MAX_LABELS.")
        labels.forEach { (key, value) ->
            check(key.isNotEmpty() && isLabelText(key), "labels.$key", "This is no label key.", LABEL_REMEDY)
            check(isLabelText(value), "labels.$key", "\"$value\" is no label value.", LABEL_REMEDY)
        }
    }

    private fun isLabelText(text: String) = text.length <= MAX_LABEL_LENGTH && text.all(SelectorParser::isWordCharacter)

    private fun ErrorCollector.key(key: ApiKey, before: DefaultCatalogView, after: DefaultCatalogView) {
        val isDigestValid = key.digest.length == DIGEST_LENGTH && key.digest.all { it in '0'..'9' || it in 'a'..'f' }
        check(isDigestValid, "digest", "This is no keyed digest.", "Issue keys with `ctl key issue`, which writes it.")
        val workspace = key.workspace
        check(
            workspace == null || after.workspace(workspace) != null,
            "workspace",
            "There is no workspace \"$workspace\".",
            "Create it in the same or an earlier change, or leave the field out for an operator's key.",
        )
        val previous = before.key(key.name)
        check(
            previous == null || !previous.withdrawn || key.withdrawn,
            "withdrawn",
            "A withdrawn key can't be made valid again.",
            "Issue a new key under another name.",
        )
        check(
            previous == null || previous.workspace == key.workspace,
            "workspace",
            "A key can't move to another workspace.",
            "Issue a new key there and withdraw this one.",
        )
        val sameDigest = before.keyByDigest(key.digest)
        check(
            sameDigest == null || sameDigest.name == key.name || after.key(sameDigest.name) == null,
            "digest",
            "The key \"${sameDigest?.name}\" has the same digest.",
            "Issue a new key.",
        )
    }

    private fun ErrorCollector.deployment(value: Deployment) {
        check(value.model.isNotBlank(), "model", "No model is named.", "Name a model of the weight store.")
        selector("pools", value.pools)
        selector("workspaces", value.workspaces)
        range("maxPromptTokens", value.maxPromptTokens, 1..MAX_TOKENS)
        range("maxOutputTokens", value.maxOutputTokens, 1..MAX_TOKENS)
        positive("firstTokenSeconds", value.firstTokenSeconds, MAX_SECONDS)
        positive("betweenTokensMillis", value.betweenTokensMillis, MAX_MILLIS)
    }

    private fun ErrorCollector.pool(value: Pool) {
        selector("servers", value.servers)
        check(value.minServers >= 0, "minServers", "${value.minServers} is below 0.", "Use 0 or more.")
        check(
            value.maxServers >= value.minServers,
            "maxServers",
            "${value.maxServers} is below minServers, ${value.minServers}.",
            "Raise maxServers or lower minServers.",
        )
        check(
            value.maxCheapShare in 0.0..1.0,
            "maxCheapShare",
            "${value.maxCheapShare} is no share.",
            "Use 0.0 to 1.0.",
        )
    }

    private fun ErrorCollector.server(value: BackendServerConfig) {
        val port = value.address.substringAfterLast(':').toIntOrNull()
        val isAddressValid = ADDRESS.matches(value.address) && port != null && port in 1..MAX_PORT
        check(isAddressValid, "address", "\"${value.address}\" is no address.", "Write host:port.")
        check(value.domain.isNotBlank(), "domain", "No failure domain is named.", "Name the server's failure domain.")
        check(value.region.isNotBlank(), "region", "No region is named.", "Name the server's region.")
    }

    private fun ErrorCollector.service(value: PlainService) {
        selector("servers", value.servers)
        selector("workspaces", value.workspaces)
        positive("timeoutSeconds", value.timeoutSeconds, MAX_SECONDS)
        val unknown = value.onceMethods - METHODS
        check(unknown.isEmpty(), "onceMethods", "$unknown are no methods.", "Use some of $METHODS.")
    }

    private fun ErrorCollector.limit(value: Limit) {
        selector("workspaces", value.workspaces)
        selector("deployments", value.deployments)
        val tokens = value.tokensPerMinute
        check(tokens == null || tokens > 0, "tokensPerMinute", "$tokens is not above 0.", "Use 1 or more.")
        val requests = value.concurrentRequests
        check(requests == null || requests > 0, "concurrentRequests", "$requests is not above 0.", "Use 1 or more.")
    }

    private const val LABEL_REMEDY = "Use up to $MAX_LABEL_LENGTH letters, digits and \"-_./\"."
}

/** Collects the errors of one object. */
private class ErrorCollector(private val ref: ObjectRef) {
    val errors = mutableListOf<ValidationError>()

    fun check(isValid: Boolean, field: String, message: String, remedy: String) {
        if (isValid) return
        val path = if (field.isEmpty()) "$ref" else "$ref.$field"
        errors += ValidationError(path, message, remedy)
    }

    fun selector(field: String, text: String) {
        val error = SelectorParser.parse(text).leftOrNull() ?: return
        check(false, field, error.message, "Write requirements such as \"zone=a, tier in (x, y), !old\".")
    }

    fun range(field: String, value: Int, allowed: IntRange) =
        check(value in allowed, field, "$value is out of range.", "Use ${allowed.first} to ${allowed.last}.")

    fun positive(field: String, value: Double, max: Double) =
        check(value > 0 && value <= max, field, "$value is out of range.", "Use more than 0 and at most $max.")
}
