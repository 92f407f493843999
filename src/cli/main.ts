/** The program: one binary, a subcommand each for the daemon and for operators. */

import sade from 'sade';

const VERSION = '0.1.0';

sade('nutmegstack').version(VERSION).parse(process.argv);
