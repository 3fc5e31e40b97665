package org.persimmonrelay.node

/** Addresses on which a started node listens, as `host:port`. */
public data class NodeAddresses(val entry: String, val admin: String)
