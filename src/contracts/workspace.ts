/**
Workspaces: the customers that share a deployment. Each has keys, a priority and a share of the requests.
*/
import {type Brand} from './id.js';

export type WorkspaceName = Brand<string, 'WorkspaceName'>;
