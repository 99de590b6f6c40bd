/** Tracks, without I/O, which endpoints have the KV caches of chats. */
package org.bulrushweir.affinity;
