/** Includes the codecs of all external protocols: users, agents and the cloud. */
#ifndef LL_CODEC_H
#define LL_CODEC_H

#include "agent_codec.h"
#include "cloud_codec.h"
#include "job_codec.h"

#endif
