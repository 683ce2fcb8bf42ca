/** The store: holds kept turns and the budgets of programs. */
package org.cicadahead.store;
