/** Remembers, without I/O, where the caches of chats are. */
package org.bulrushweir.affinity;
