/** Classes of generated inputs. A run fails unless it produces inputs of each class. */
export enum InputClass {
	CallerRandomBytes = 'callers: random bytes',
	CallerMutatedStart = 'callers: mutated start and login',
	CallerMutatedSession = 'callers: mutated messages after the login',
	PeerRandomBytes = 'peers: random bytes',
	PeerMutatedHello = 'peers: mutated hello',
	PeerMutatedFrames = 'peers: mutated frames after the hello',
	PeerMutatedBodies = 'peers: valid frames with mutated bodies',
	PeerHostileEncoding = 'peers: hostile encodings',
	SettingsStructure = 'settings: mutated structure',
	SettingsText = 'settings: mutated text',
	ContractStructure = 'contracts: mutated structure',
	ContractText = 'contracts: mutated text',
}
