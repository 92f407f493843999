/** One line of help for each metric; a name that is missing here is shown without. */

export const DESCRIPTIONS: Readonly<Record<string, string>> = {};
