/**
 * Finds the lines of fields in a file of JSON with comments.
 */
import { findNodeAtLocation, parseTree } from 'jsonc-parser'

/**
 * @name locateField
 * @summary Line of a field, or of its nearest ancestor that exists in the file.
 * @param text - Content of the file.
 * @param path - Path of the field.
 * @returns The line, counted from 1.
 *
 * @example
 * locateField('{\n  "host": 1\n}', ['host']) // 2
 */
export function locateField (text: string, path: ReadonlyArray<string | number>): number {
  const root = parseTree(text)
  if (root === undefined) return 1
  for (let depth = path.length; depth > 0; depth--) {
    const node = findNodeAtLocation(root, path.slice(0, depth))
    if (node === undefined) continue
    const offset = node.parent?.type === 'property' ? node.parent.offset : node.offset
    return lineAt(text, offset)
  }
  return lineAt(text, root.offset)
}

/**
 * @name lineAt
 * @summary Line that contains an offset.
 * @param text - The text.
 * @param offset - Offset in characters.
 * @returns The line, counted from 1.
 *
 * @example
 * lineAt('a\nb', 2) // 2
 */
export function lineAt (text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length
}
