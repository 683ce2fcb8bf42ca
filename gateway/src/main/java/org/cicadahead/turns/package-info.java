/** Kept turns and the budgets of programs as replicated tables, without input or output. */
package org.cicadahead.turns;
