package org.persimmonrelay.node

/** Where a started node answers, as `host:port`. */
public data class NodeAddresses(val entry: String, val admin: String)
