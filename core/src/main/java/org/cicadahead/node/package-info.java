/** What all roles of a daemon have in common. */
package org.cicadahead.node;
